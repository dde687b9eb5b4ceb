"""Prefix chains, the cache index, placement, retries and deadlines."""
