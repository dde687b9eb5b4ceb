"""Stream order and resumption, at-most-once execution, refusals and their truth."""
