"""Load generation, randomised runs, baselines and reports."""
