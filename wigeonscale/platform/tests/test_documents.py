import copy
import json

from wigeonscale.errors import ErrorKind, SettingsError
from wigeonscale.platform.documents import compress, decompress, read_route_table
from wigeonscale.platform.tests.support import DOCUMENT, document
from wigeonscale.routes import Repeat, Share, find_route
from wigeonscale.testing import AsyncTestCase


class ReadTest(AsyncTestCase):
    def test_route(self):
        route = find_route(read_route_table(document()), "some.example", "/gen/x")
        self.assertEqual("r-gen", route.name)
        self.assertEqual(Repeat.STREAM, route.repeat)
        self.assertEqual(
            (20.0, 0.5, 0.2), (route.timeout_s, route.target_s, route.gap_target_s)
        )
        self.assertEqual((Share("model", 90), Share("plain", 10)), route.shares)
        self.assertTrue(route.resumable and route.generates and route.is_idempotent)

    def test_engine(self):
        engine = read_route_table(document()).services["model"].engine
        self.assertEqual(
            (80, 1750.0, 0.85), (engine.layers, engine.layer_mb, engine.step_ms)
        )
        self.assertEqual(8.2, engine.accelerators["l4"].read_factor)
        self.assertEqual(772, engine.usual_prompt)

    def test_delays_between_domains_are_symmetric(self):
        services = copy.deepcopy(DOCUMENT["services"])
        for service in services:
            if "engine" in service:
                service["engine"]["delays"] = [
                    {"from": "b", "to": "a", "delay_ms": 0.42},
                    {"from": "b", "to": "c", "delay_ms": 30.0},
                ]
        table = read_route_table(document(services=services))
        delays = [table.delay_ms(*pair) for pair in ("ab", "ba", "cb", "ac", "aa")]
        self.assertEqual([0.42, 0.42, 30.0, 0.0, 0.0], delays)

    def test_keys_limits_and_number(self):
        table = read_route_table(document())
        self.assertEqual(7, table.number)
        self.assertEqual({"k1", "k2"}, set(table.organisations))
        self.assertEqual(3, table.organisations["k1"].priority)
        self.assertEqual(1000, table.limits.body_bytes)

    def test_keys_are_optional_without_organisations(self):
        without = copy.deepcopy(DOCUMENT)
        del without["tenants"]
        self.assertFalse(read_route_table(json.dumps(without).encode()).needs_keys)

    def test_compressed_document_is_restored_exactly(self):
        self.assertEqual(document(), decompress(compress(document())))


class InvalidTest(AsyncTestCase):
    def assert_invalid(self, content):
        exc = self.assertRaises(SettingsError, read_route_table, content)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, exc.kind)

    def changed_route(self, **changes):
        routes = copy.deepcopy(DOCUMENT["routes"])
        routes[0].update(changes)
        return document(routes=routes)

    def test_truncated_document(self):
        content = document()
        for length in range(0, len(content), 7):
            self.assert_invalid(content[:length])

    def test_not_a_document(self):
        for content in (b"[]", b"null", b'"x"', b"\xff", b"{}"):
            self.assert_invalid(content)

    def test_unknown_service(self):
        split = [{"service": "nobody", "weight": 1}]
        self.assert_invalid(self.changed_route(split=split))

    def test_duplicate_route_match(self):
        self.assert_invalid(
            self.changed_route(host="some.example", **{"path-prefix": "/plain/"})
        )

    def test_weights_sum_to_zero(self):
        split = [{"service": "model", "weight": 0}, {"service": "plain", "weight": 0}]
        self.assert_invalid(self.changed_route(split=split))
        self.assert_invalid(self.changed_route(split=[]))

    def test_zero_timeout(self):
        self.assert_invalid(self.changed_route(**{"timeout-ms": 0}))

    def test_key_of_two_organisations(self):
        tenants = [
            {"name": "one", "api-keys": ["k"]},
            {"name": "two", "api-keys": ["k"]},
        ]
        self.assert_invalid(document(tenants=tenants))

    def test_invalid_version(self):
        for version in (0, -1, "x", None, 1.5):
            self.assert_invalid(document(version=version))

    def test_negative_priority(self):
        # Guards against a class of requests that is taken for interrupted streams.
        tenants = [{"name": "one", "api-keys": ["k"], "priority": -1}]
        cases = [
            ("routes.0.priority", self.changed_route(priority=-1)),
            ("tenants.0.priority", document(tenants=tenants)),
        ]
        for location, content in cases:
            exc = self.assertRaises(SettingsError, read_route_table, content)
            self.assertEqual(ErrorKind.INVALID_DOCUMENT, exc.kind)
            self.assertIn(location, exc.message)

    def test_unknown_kind(self):
        self.assert_invalid(self.changed_route(kind="maybe"))
