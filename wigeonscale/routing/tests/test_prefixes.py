from wigeonscale.routing import PrefixView, prefix_digest
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire.wire_pb2 import PrefixEvent, PrefixEvents


class PrefixViewTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.view = PrefixView()

    def held(self, *digests):
        return [digest for digest in digests if self.view.holds("a", digest)]

    def test_follows_events(self):
        self.view.apply_event("a", 1, b"x", held=True)
        self.view.apply_event("a", 2, b"y", held=True)
        self.view.apply_event("a", 3, b"x", held=False)
        self.assertEqual([b"y"], self.held(b"x", b"y"))

    def test_short_gap_keeps_prefixes(self):
        self.view.apply_event("a", 1, b"x", held=True)
        self.view.apply_event("a", 9, b"y", held=True)
        self.assertEqual([b"x", b"y"], self.held(b"x", b"y"))

    def test_long_gap_drops_all_earlier_prefixes(self):
        self.view.apply_event("a", 1, b"x", held=True)
        self.view.apply_event("a", 2000, b"y", held=True)
        self.assertEqual([b"y"], self.held(b"x", b"y"))

    def test_late_event_does_not_override_a_newer_one(self):
        self.view.apply_event("a", 1, b"y", held=True)
        self.view.apply_event("a", 3, b"x", held=False)
        self.view.apply_event("a", 2, b"x", held=True)
        self.assertEqual([b"y"], self.held(b"x", b"y"))

    def test_agents_are_independent(self):
        self.view.apply_event("a", 1, b"x", held=True)
        self.view.apply_event("b", 9, b"y", held=True)
        self.assertEqual([b"x"], self.held(b"x", b"y"))
        self.view.forget("a")
        self.assertEqual([], self.held(b"x"))

    def test_memory_is_bounded(self):
        for number in range(5000):
            self.view.apply_event("a", number, b"%d" % number, held=True)
        self.assertEqual([], self.held(b"0"))
        self.assertEqual([b"4999"], self.held(b"4999"))

    def test_digest_covers_the_first_bytes(self):
        shared = b"p" * 256
        self.assertEqual(prefix_digest(shared + b"1"), prefix_digest(shared + b"2"))
        self.assertNotEqual(prefix_digest(b"one"), prefix_digest(b"two"))
        self.assertEqual(b"", prefix_digest(b""))

    def test_full_list_replaces_all_prefixes(self):
        self.view.apply_event("a", 1, b"x", held=True)
        # Events of one message; events between them concerned other prefixes.
        listed = [
            PrefixEvent(number=9, digest=b"y", held=True),
            PrefixEvent(number=9000, digest=b"z", held=True),
        ]
        self.view.apply_events("a", PrefixEvents(full=True, number=9800, events=listed))
        self.assertEqual([b"y", b"z"], self.held(b"x", b"y", b"z"))
        gone = PrefixEvent(number=9801, digest=b"y", held=False)
        self.view.apply_events("a", PrefixEvents(number=9801, events=[gone]))
        self.assertEqual([b"z"], self.held(b"x", b"y", b"z"))
