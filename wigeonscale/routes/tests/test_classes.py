from wigeonscale.routes import (
    Repeat,
    Route,
    RouteTable,
    Share,
    detects_early,
    traffic_classes,
)
from wigeonscale.testing import AsyncTestCase


def table(*routes):
    """Return a route table of generating routes (priority, target_s, service)."""
    by_prefix = {
        f"/{number}/": Route(
            name=f"r{number}",
            host="h",
            prefix=f"/{number}/",
            repeat=Repeat.STREAM,
            timeout_s=20.0,
            target_s=target_s,
            priority=priority,
            shares=(Share(service, 1.0),),
            generates=service != "plain",
        )
        for number, (priority, target_s, service) in enumerate(routes)
    }
    return RouteTable(number=1, routes={"h": by_prefix})


class TrafficClassesTest(AsyncTestCase):
    """A service of equal callers must not be treated as one with classes."""

    def test_equal_routes_are_no_classes(self):
        equal = table((1, 0.502, "llm"), (1, 0.503, "llm"), (1, 0.504, "llm"))
        self.assertEqual(traffic_classes(equal, "llm"), ())

    def test_similar_targets_are_no_classes(self):
        similar = table((1, 0.5, "llm"), (1, 0.6, "llm"))
        self.assertEqual(traffic_classes(similar, "llm"), ())

    def test_priorities_are_classes(self):
        mixed = table((2, 1.2, "llm"), (0, 0.5, "llm"), (1, 0.6, "llm"))
        self.assertEqual(traffic_classes(mixed, "llm"), (0, 1, 2))

    def test_far_targets_are_classes(self):
        mixed = table((1, 0.5, "llm"), (1, 1.2, "llm"))
        self.assertEqual(traffic_classes(mixed, "llm"), (1,))

    def test_other_services_and_plain_routes_do_not_count(self):
        mixed = table((1, 0.5, "llm"), (0, 0.5, "other"), (2, 0.1, "plain"))
        self.assertEqual(traffic_classes(mixed, "llm"), ())
        self.assertEqual(traffic_classes(mixed, "plain"), ())


class DetectsEarlyTest(AsyncTestCase):
    """Control and entries must agree on the services with early detection."""

    def test_services_with_classes(self):
        mixed = table((2, 1.2, "llm"), (0, 0.5, "llm"))
        self.assertTrue(detects_early(mixed, "llm"))

    def test_others_without_a_pause_target(self):
        equal = table((1, 0.5, "llm"), (1, 0.5, "llm"))
        self.assertFalse(detects_early(equal, "llm"))
        self.assertFalse(detects_early(equal, "unknown"))
