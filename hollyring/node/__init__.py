"""The VM process: sockets, files and timers round the decision packages."""
