"""Stand-ins for external systems, used by tests and demonstrations."""
