"""Fixtures of tests over separate processes."""
