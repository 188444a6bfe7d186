import json

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.platform.heartbeats import read_heartbeat
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

    def test_broken(self):
        for content in (b"", b"{", b"[]", b"{}", b'{"service": "s"}'):
            exc = self.assertRaises(WigeonscaleError, read_heartbeat, "i", content)
            self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)
