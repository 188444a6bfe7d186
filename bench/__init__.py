"""Benchmarks against simple baselines, with bounds on counts and ratios."""
