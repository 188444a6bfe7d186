"""Tests of the fleet that an entry builds from the members announced by control."""

from wigeonscale.direct import read_fleet, replaced_incarnations
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def backend(name, started_ms=0, **fields):
    fields.setdefault("address", f"{name}:80")
    return wire.Backend(
        agent_id=name,
        incarnation=started_ms or 1,
        started_ms=started_ms,
        service="s",
        **fields,
    )


class FleetTest(AsyncTestCase):
    def test_each_start_is_another_incarnation(self):
        first, second = (
            read_fleet([backend("i-1", started)]).by_service["s"][0]
            for started in (100, 200)
        )
        self.assertNotEqual(first.backend_id, second.backend_id)
        self.assertEqual(("i-1", "i-1"), (first.name, second.name))
        self.assertEqual((100, 200), (first.incarnation, second.incarnation))

    def test_name_without_start_time(self):
        server = read_fleet([backend("i-1")]).by_service["s"][0]
        self.assertEqual(("i-1", "i-1"), (server.backend_id, server.name))
        self.assertEqual(1, server.incarnation)

    def test_draining_servers_get_no_requests(self):
        fleet = read_fleet([backend("i-1", draining=True), backend("i-2")])
        self.assertEqual({"i-2"}, set(fleet.by_id))
        self.assertEqual("i-1:80", fleet.find("i-1").address)
        self.assertIsNone(fleet.find("i-3"))

    def test_silent_server_that_may_go_on_has_not_ended(self):
        fleet = read_fleet(
            [backend("i-1", silent=True, may_go_on=True), backend("i-2", silent=True)]
        )
        self.assertFalse(fleet.has_ended("i-1"))
        self.assertTrue(fleet.has_ended("i-2"))
        self.assertTrue(fleet.by_id["i-1"].is_silent)


class ReplacedTest(AsyncTestCase):
    def test_restart_under_the_same_name(self):
        self.assertEqual(
            ["i-1@100"],
            replaced_incarnations(
                [backend("i-1", 100), backend("i-2", 100)],
                [backend("i-1", 200), backend("i-2", 100)],
            ),
        )

    def test_restarted_server_is_draining(self):
        now = [backend("i-1", 200, draining=True)]
        self.assertEqual(["i-1@100"], replaced_incarnations([backend("i-1", 100)], now))

    def test_other_server_at_the_same_address(self):
        now = [backend("i-2", 200, address="i-1:80")]
        self.assertEqual(["i-1@100"], replaced_incarnations([backend("i-1", 100)], now))

    def test_missing_server_is_not_replaced(self):
        self.assertEqual([], replaced_incarnations([backend("i-1", 100)], []))

    def test_changed_state_is_no_replacement(self):
        now = [backend("i-1", 100, silent=True)]
        self.assertEqual([], replaced_incarnations([backend("i-1", 100)], now))
