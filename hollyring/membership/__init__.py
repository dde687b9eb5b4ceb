"""Liveness of VMs, the addresses that callers are told, and leases."""

from hollyring.membership import entry, errors, leases

__all__ = ["entry", "errors", "leases"]
