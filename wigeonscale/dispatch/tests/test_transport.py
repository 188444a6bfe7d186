"""Load accounting of dispatches: each is counted once, and so is its outcome."""

from types import SimpleNamespace

from wigeonscale.dispatch.transport import DispatchTransport
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.routing import LoadTable
from wigeonscale.testing import AsyncTestCase, ManualClock


def ended_stream(**kwargs):
    stream = SimpleNamespace(
        target=SimpleNamespace(agent_id="a"),
        organisation="org",
        counted=False,
        done=None,
        response=None,
        error=None,
        detach=lambda: None,
    )
    vars(stream).update(kwargs)
    return stream


class DispatchTransportTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.table = LoadTable(clock=ManualClock())
        links = SimpleNamespace(add_stream=lambda stream: None)
        self.transport = DispatchTransport(links=links, table=self.table)

    def run_to_end(self, **kwargs):
        stream = ended_stream(**kwargs)
        self.transport.add_stream(stream)
        in_flight = self.table.in_flight_of("a", "org")
        self.transport.drop(stream)
        self.transport.drop(stream)
        return in_flight

    def test_each_dispatch_is_counted_once_for_its_organisation(self):
        self.assertEqual(1, self.run_to_end(done=object()))
        self.assertEqual(0, self.table.in_flight_of("a", "org"))

    def test_backend_server_failures_reach_the_load_table(self):
        self.run_to_end(error=WigeonscaleError(ErrorKind.BACKEND_FAILED, "broke"))
        self.assertEqual(1.0, self.table.failures("a"))
        self.run_to_end(response=object())
        self.assertLess(self.table.failures("a"), 1.0)

    def test_refusals_do_not_count_as_failures(self):
        self.run_to_end(error=WigeonscaleError(ErrorKind.OVERLOADED, "full"))
        self.assertEqual(0.0, self.table.failures("a"))
