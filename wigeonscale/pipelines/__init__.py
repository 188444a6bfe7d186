"""The token loop over a chain of stages: steps, order checks and recovery."""
