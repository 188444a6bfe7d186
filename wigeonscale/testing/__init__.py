"""Test support: the base test case, a manual clock and fake backend servers."""

__all__ = ["AsyncTestCase", "ManualClock", "rpcs_ended"]

from wigeonscale.testing.case import AsyncTestCase
from wigeonscale.testing.clock import ManualClock
from wigeonscale.testing.rpcs import rpcs_ended
