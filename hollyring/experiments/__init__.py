"""Experiments: load generation, fault injection, baselines and reports."""
