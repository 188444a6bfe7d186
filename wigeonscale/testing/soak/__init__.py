"""A randomized soak test with faults for the daemons that serve without agents.

It runs real processes on loopback, injects faults from outside, and checks invariants
on what callers, operators and backend servers observe.

Usage: ``python -m wigeonscale.testing.soak --seeds 1-50``.
"""
