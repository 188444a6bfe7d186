"""Support for tests: the base class, a manual clock and small fakes."""

__all__ = ["AsyncTestCase", "ManualClock", "rpcs_ended"]

from wigeonscale.testing.case import AsyncTestCase
from wigeonscale.testing.clock import ManualClock
from wigeonscale.testing.rpcs import rpcs_ended
