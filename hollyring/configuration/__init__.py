"""Revisions of the configuration, their deltas, and what is in force on a VM."""
