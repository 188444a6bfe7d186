"""Tests that fail on purpose; run only by ``test_run``, whose pattern omits them."""

from testscenarios import WithScenarios

from wigeonscale.testing import AsyncTestCase


class FailingCase(AsyncTestCase):
    def test_one(self):
        raise AssertionError("on purpose")

    def test_two(self):
        raise AssertionError("on purpose")

    def test_three(self):
        raise AssertionError("on purpose")

    def test_four(self):
        raise AssertionError("on purpose")


class ScenarioCase(WithScenarios, AsyncTestCase):
    scenarios = [("good", {"fails": False}), ("bad", {"fails": True})]

    def test_scenario(self):
        self.assertFalse(self.fails)
