"""Benchmarks: figures beside plain baselines, with bounds on counts and ratios."""
