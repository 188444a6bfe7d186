import collections
from unittest import mock

from demo import processes
from wigeonscale.testing import AsyncTestCase


class FreePortsTest(AsyncTestCase):
    def test_a_port_is_never_given_twice(self):
        """A port that the system offers again, unused so far, is passed over."""
        offers = collections.deque([40001, 40001, 40002])

        def offer(sock):
            return ("127.0.0.1", offers.popleft())

        with mock.patch.object(processes.socket, "socket") as made:
            made.return_value.__enter__.return_value.getsockname = lambda: offer(None)
            first = processes.free_ports(1)
            second = processes.free_ports(1)
        self.assertEqual(([40001], [40002]), (first, second))
