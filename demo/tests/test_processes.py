import itertools
import random
import socket
from unittest import mock

from demo import processes
from wigeonscale.testing import AsyncTestCase

LOWEST_EPHEMERAL_PORT = 32768  # default of Linux


class FreePortsTest(AsyncTestCase):
    def test_no_port_is_returned_twice(self):
        with mock.patch.object(processes, "_rng", random.Random(1)):
            first = processes.free_ports(3)
        with mock.patch.object(processes, "_rng", random.Random(1)):
            second = processes.free_ports(3)
        self.assertEqual(6, len({*first, *second}))

    def test_port_in_use_is_skipped(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            taken = sock.getsockname()[1]
            offers = itertools.chain([taken], processes.PORT_RANGE)
            with mock.patch.object(processes, "_rng") as rng:
                rng.choice.side_effect = offers
                self.assertNotEqual([taken], processes.free_ports(1))
        self.assertNotEqual(taken, next(offers))

    def test_ports_lie_below_the_ephemeral_range(self):
        self.assertLess(max(processes.PORT_RANGE), LOWEST_EPHEMERAL_PORT)
