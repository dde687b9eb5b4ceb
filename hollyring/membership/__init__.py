"""Liveness of VMs and upstreams, entry addresses for callers, and leases."""
