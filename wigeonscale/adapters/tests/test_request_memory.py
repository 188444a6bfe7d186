from wigeonscale.adapters.request_memory import (
    DEFAULT_LIMIT_BYTES,
    RequestMemory,
    request_memory_bytes,
)
from wigeonscale.testing import AsyncTestCase

COMMON = 10_000
LIMIT = 1_000_000


class FakeConnection:
    """A connection that holds bytes, some of which it can free."""

    def __init__(self, *, memory, evictable_bytes=0):
        self.memory = memory
        self.evictable_bytes = evictable_bytes
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True
        self.memory.hold(self, 0)
        self.evictable_bytes = 0


class RequestMemoryTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.memory = RequestMemory(limit_bytes=LIMIT)

    def connection(self, size, *, evictable_bytes=0):
        conn = FakeConnection(memory=self.memory, evictable_bytes=evictable_bytes)
        self.assertTrue(self.memory.hold(conn, size))
        return conn

    def new(self):
        return FakeConnection(memory=self.memory)

    def test_released_memory_can_be_held_again(self):
        for _ in range(5):
            conn = self.connection(700_000)
            self.assertEqual(700_000, self.memory.used_bytes)
            self.memory.hold(conn, 0)
        self.assertEqual(0, self.memory.used_bytes)

    def test_large_requests_leave_memory_to_others(self):
        """Guards against large requests in progress that keep out all others."""
        self.connection(700_000)
        self.assertFalse(self.memory.hold(self.new(), 100_000))
        for _ in range(30):
            self.connection(COMMON)
        self.assertFalse(self.memory.hold(self.new(), COMMON))

    def test_single_large_request_is_held(self):
        """Guards against a request within the limits that is refused in calm."""
        self.connection(COMMON)
        self.connection(2 * LIMIT)

    def test_connection_that_holds_most_in_vain_is_evicted(self):
        small = self.connection(100_000, evictable_bytes=100_000)
        large = self.connection(300_000, evictable_bytes=300_000)
        busy = self.connection(300_000)
        self.connection(100_000)
        self.assertEqual(
            [False, True, False],
            [small.is_evicted, large.is_evicted, busy.is_evicted],
        )

    def test_connection_does_not_evict_a_smaller_one(self):
        """Guards against callers that push out each other in turn."""
        self.connection(700_000)
        small = self.connection(COMMON, evictable_bytes=COMMON)
        self.assertFalse(self.memory.hold(self.new(), 200_000))
        self.assertFalse(small.is_evicted)

    def test_share_of_the_machine(self):
        self.assertEqual(60_000_000, request_memory_bytes(300))
        self.assertEqual(DEFAULT_LIMIT_BYTES, request_memory_bytes(0))
