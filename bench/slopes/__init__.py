"""Marginal costs: what one more watcher, change, claim or stream costs each role."""
