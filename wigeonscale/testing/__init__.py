"""Support for tests: the base class, a manual clock and small fakes."""

__all__ = ["AsyncTestCase", "ManualClock"]

from wigeonscale.testing.case import AsyncTestCase
from wigeonscale.testing.clock import ManualClock
