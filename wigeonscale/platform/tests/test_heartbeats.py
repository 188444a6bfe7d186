import json

from hypothesis import given
from hypothesis import strategies as st

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.platform.heartbeats import read_deregistration, read_heartbeat
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

BEAT = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "cold-remaining-ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 3, "to": 10, "version": 1},
    "kind": "l4",
    "seq": 4,
}


def read(**changes):
    return read_heartbeat("i-1", json.dumps(BEAT | changes).encode())


class HeartbeatTest(AsyncTestCase):
    def test_engine(self):
        beat = read()
        backend = beat.backend
        self.assertEqual(4, beat.sequence)
        self.assertEqual(("i-1", "10.0.0.9:8080"), (backend.agent_id, backend.address))
        self.assertEqual((3, 9), (backend.first_layer, backend.last_layer))
        self.assertEqual(wire.ENGINE, backend.kind)
        self.assertEqual("hall-a", backend.domain)
        self.assertFalse(backend.draining)

    def test_without_layers(self):
        backend = read(layers=None).backend
        self.assertTrue(backend.last_layer < backend.first_layer)

    def test_plain_service(self):
        backend = read(models=None, layers=None).backend
        self.assertEqual(wire.SERVICE, backend.kind)

    def test_draining(self):
        self.assertTrue(read(state="draining").backend.draining)

    def test_malformed_body(self):
        for content in (b"", b"{", b"[]", b"{}", b'{"service": "s"}'):
            exc = self.assertRaises(WigeonscaleError, read_heartbeat, "i", content)
            self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)

    def test_start_time(self):
        backend = read(born=1_786_000_000_123).backend
        self.assertEqual(1_786_000_000_123, backend.started_ms)
        self.assertEqual(1_786_000_000_123, backend.incarnation)
        backend = read().backend
        self.assertEqual((0, 1), (backend.started_ms, backend.incarnation))

    def test_invalid_start_time(self):
        for born in ("1", 1.5, True, -1, 0, 2**63, [1], {}):
            exc = self.assertRaises(WigeonscaleError, read, born=born)
            self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)
            self.assertIn("born", exc.message)


class DeregistrationTest(AsyncTestCase):
    def test_without_start_time(self):
        self.assertIsNone(read_deregistration("i", b"").incarnation)
        self.assertIsNone(read_deregistration("i", b"{}").incarnation)

    def test_with_start_time(self):
        self.assertEqual(7, read_deregistration("i", b'{"born": 7}').incarnation)

    def test_malformed_body(self):
        for content in (b"{", b"[]", b'{"born": "7"}', b"\xff"):
            self.assertRaises(WigeonscaleError, read_deregistration, "i", content)


OTHER = st.none() | st.booleans() | st.floats() | st.text() | st.just([]) | st.just({})
REQUIRED = ("service", "address", "zone", "slots", "state", "seq")
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


class OtherWriterTest(AsyncTestCase):
    """Invalid heartbeats are rejected with a reason and never applied in part."""

    def assert_refused(self, content):
        exc = self.assertRaises(WigeonscaleError, read_heartbeat, "i-1", content)
        self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)

    @given(name=st.sampled_from(REQUIRED))
    def test_a_field_is_missing(self, name):
        beat = {key: value for key, value in BEAT.items() if key != name}
        self.assert_refused(json.dumps(beat).encode())

    @given(name=st.sampled_from(("slots", "seq")), value=OTHER)
    def test_a_number_is_of_another_type(self, name, value):
        self.assert_refused(json.dumps(BEAT | {name: value}).encode())

    @given(name=st.sampled_from(("service", "address", "zone", "state", "kind")))
    def test_a_text_is_of_another_type(self, name):
        for value in (None, 3, True, [], {}):
            self.assert_refused(json.dumps(BEAT | {name: value}).encode())

    @given(state=st.text().filter(lambda text: text not in ("ready", "draining")))
    def test_a_state_that_does_not_exist(self, state):
        self.assert_refused(json.dumps(BEAT | {"state": state}).encode())

    @given(address=st.text().filter(lambda text: ":" not in text))
    def test_an_address_that_is_none(self, address):
        self.assert_refused(json.dumps(BEAT | {"address": address}).encode())

    @given(content=st.binary())
    def test_bytes_that_cannot_be_read(self, content):
        self.assert_refused(content)

    @given(changes=st.dictionaries(st.sampled_from(sorted(BEAT)), values))
    def test_whatever_the_fields_hold(self, changes):
        content = json.dumps(BEAT | changes).encode()
        try:
            backend = read_heartbeat("i-1", content).backend
        except WigeonscaleError as exc:
            self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)
            return
        # An accepted heartbeat has all fields that the registry relies on.
        self.assertTrue(backend.service and backend.address and backend.domain)
