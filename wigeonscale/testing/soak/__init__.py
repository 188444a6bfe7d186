"""A randomized fault soak of the daemons that serve without agents.

Real processes on loopback, faults from outside, promises checked from what callers,
operators and backend servers see: ``python -m wigeonscale.testing.soak --seeds 1-50``.
"""
