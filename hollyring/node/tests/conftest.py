"""Fixtures of the VM process's tests."""
