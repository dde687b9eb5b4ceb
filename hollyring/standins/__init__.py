"""Small fakes of the outside systems, for tests and demonstrations."""
