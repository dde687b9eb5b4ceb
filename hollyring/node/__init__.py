"""The VM process: the I/O and timers around the decision packages, which do no I/O."""
