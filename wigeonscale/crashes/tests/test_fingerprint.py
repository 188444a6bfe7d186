from wigeonscale.crashes import request_fingerprint
from wigeonscale.testing import AsyncTestCase


class FingerprintTest(AsyncTestCase):
    def of(self, **fields):
        request = {"caller": "a", "method": "POST", "path": "/p", "body": b"q"}
        return request_fingerprint(**(request | fields))

    def test_equal_for_a_repeated_request(self):
        self.assertEqual(self.of(), self.of())

    def test_every_part_is_included(self):
        others = {
            self.of(caller="b"),
            self.of(method="GET"),
            self.of(path="/p?x=1"),
            self.of(body=b"r"),
            # Bytes moved from one part to the next change the fingerprint.
            self.of(caller="aP", method="OST"),
            self.of(path="/pq", body=b""),
        }
        self.assertEqual(6, len(others - {self.of()}))
