from wigeonscale.limits import (
    INTERRUPTED_PRIORITY,
    ClassCount,
    class_reserve,
    spread_interrupted,
)
from wigeonscale.testing import AsyncTestCase

DOMAINS = ("a", "b", "c")


def count(priority, domain, **counts):
    return ClassCount(service="s", priority=priority, domain=domain, **counts)


class SpreadInterruptedTest(AsyncTestCase):
    def test_streams_of_a_lost_domain_count_in_all(self):
        # Guards against a reserve only in the failure domain whose engines are lost,
        # where no capacity is released.
        lost = count(INTERRUPTED_PRIORITY, "a", arrived=60, admitted=9, waiting=31)
        spread = spread_interrupted([lost], DOMAINS)
        self.assertEqual(
            [
                count(INTERRUPTED_PRIORITY, domain, arrived=20, admitted=3, waiting=11)
                for domain in DOMAINS
            ],
            spread,
        )

    def test_one_stream_is_not_lost(self):
        # Guards against a few streams in many domains that round to none.
        counts = [
            count(INTERRUPTED_PRIORITY, "a", waiting=1),
            count(INTERRUPTED_PRIORITY, "b", waiting=1),
        ]
        spread = spread_interrupted(counts, DOMAINS)
        self.assertEqual([1, 1, 1], [each.waiting for each in spread])

    def test_other_classes_stay(self):
        # Guards against demand of new requests that moves to another domain.
        counts = [count(0, "a", arrived=5), count(2, "b", waiting=3)]
        self.assertEqual(counts, spread_interrupted(counts, DOMAINS))
        self.assertEqual([], spread_interrupted([], DOMAINS))

    def test_all_classes_leave_room_for_interrupted_streams(self):
        # Guards against new requests of the most urgent class that take the capacity
        # for which streams with a partial response wait.
        demand = [count(INTERRUPTED_PRIORITY, "a", arrived=40, waiting=9)]
        shares = [class_reserve(each, demand, places=100) for each in (0, 1, 2)]
        self.assertEqual([0.2] * 3, shares)
        self.assertEqual(0.0, class_reserve(INTERRUPTED_PRIORITY, demand, places=100))
