import random
from collections import Counter

from wigeonscale.direct.recovery import (
    RecoveryWay,
    draw_way,
    recovery_shares,
    recovery_time_s,
)
from wigeonscale.testing import AsyncTestCase

SEEDS = range(200)


def way(domain, ready_s=0.1, per_stream_s=0.05, **fields):
    return RecoveryWay(
        domain=domain, ready_s=ready_s, per_stream_s=per_stream_s, **fields
    )


def random_ways(rng, *, count=None, **fields):
    return [
        way(str(i), rng.uniform(0.02, 0.6), rng.uniform(0.0, 0.3), **fields)
        for i in range(count or rng.randint(1, 6))
    ]


class SharesTest(AsyncTestCase):
    """Guards against streams that pile up on one way while others are idle."""

    def test_no_way(self):
        self.assertEqual((), recovery_shares([], 5))

    def test_only_way_gets_all(self):
        # Also beyond its room, because there is no other way.
        for room in (0, 3, 100):
            self.assertEqual((1.0,), recovery_shares([way("a", room=room)], 40))

    def test_equal_ways_get_equal_shares(self):
        for streams in (0, 1, 2, 40):
            shares = recovery_shares([way("a"), way("b")], streams)
            self.assertEqual((0.5, 0.5), shares)

    def test_no_streams_or_a_single_one_take_the_fastest_way(self):
        """Guards against a division by zero, and against needless new sends."""
        ways = [way("a", 0.2), way("b", 0.1)]
        for streams in (0, 0.5, 1):
            self.assertEqual((0.0, 1.0), recovery_shares(ways, streams))

    def test_way_without_room_gets_nothing_while_another_has_room(self):
        """Guards against preemption on full engines beside ones with free cache."""
        ways = [way("a", 0.01, room=0), way("b", 0.5, room=2)]
        for streams in (0, 1, 2, 40):
            self.assertEqual((0.0, 1.0), recovery_shares(ways, streams))

    def test_without_any_room_streams_are_distributed_by_time(self):
        ways = [way("a", room=0), way("b", room=0)]
        self.assertEqual((0.5, 0.5), recovery_shares(ways, 40))

    def test_room_is_not_exceeded_while_another_way_has_room(self):
        ways = [way("a", 0.01, 0.001, room=10), way("b", 0.5, 0.1, room=100)]
        self.assertEqual((0.25, 0.75), recovery_shares(ways, 40))

    def test_streams_beyond_all_room_go_to_the_faster_full_way(self):
        ways = [
            way("a", 0.1, 0.01, room=10),
            way("b", 0.1, 0.1, room=10),
            way("c", 0.0, 0.0, room=0),
        ]
        shares = recovery_shares(ways, 100)
        self.assertAlmostEqual(10 / 100, shares[1], delta=0.01)
        self.assertAlmostEqual(90 / 100, shares[0], delta=0.01)
        self.assertEqual(0.0, shares[2])

    def test_slow_way_is_unused_until_the_others_are_as_slow(self):
        """Guards against streams sent to a slow domain without need."""
        ways = [way("a", 0.1, 0.05), way("b", 1.0, 0.05)]
        self.assertEqual((1.0, 0.0), recovery_shares(ways, 18))
        self.assertGreater(recovery_shares(ways, 40)[1], 0.2)

    def test_shares_add_up_to_1(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            ways = [
                way("d", rng.random(), rng.random(), room=rng.choice([0, 3, 20, 1e9]))
                for _ in range(rng.randint(1, 6))
            ]
            streams = rng.choice([0, 1, 2, 7, 40, 1000])
            shares = recovery_shares(ways, streams)
            with self.subTest(seed=seed):
                self.assertAlmostEqual(1.0, sum(shares), places=6)
                self.assertGreaterEqual(min(shares), 0.0)

    def test_more_streams_never_give_the_slowest_way_a_smaller_share(self):
        """Guards against a larger loss that is spread less than a small one."""
        for seed in SEEDS:
            ways = random_ways(random.Random(seed))
            slowest = max(range(len(ways)), key=lambda i: ways[i].ready_s)
            shares = [recovery_shares(ways, n)[slowest] for n in range(80)]
            with self.subTest(seed=seed):
                for fewer, more in zip(shares, shares[1:], strict=False):
                    self.assertGreaterEqual(more, fewer - 1e-8)

    def test_used_ways_are_equally_fast_for_the_last_stream(self):
        """Guards against shares that leave a faster way to the last stream."""
        for seed in SEEDS:
            ways = random_ways(random.Random(seed))
            shares = recovery_shares(ways, 41)
            times_s = [
                each.ready_s + 40 * share * each.per_stream_s
                for each, share in zip(ways, shares, strict=True)
            ]
            used = [t for t, share in zip(times_s, shares, strict=True) if share > 0]
            with self.subTest(seed=seed):
                self.assertLess(max(used) - min(times_s), 1e-5)

    def test_no_other_distribution_of_two_ways_is_faster(self):
        """Guards against a wrong level, by comparison with all distributions."""
        for seed in SEEDS:
            ways = random_ways(random.Random(seed), count=2)
            best_s = min(
                max(recovery_time_s(ways[0], n), recovery_time_s(ways[1], 40 - n))
                for n in range(41)
            )
            shares = recovery_shares(ways, 40)
            found_s = max(
                recovery_time_s(each, 40 * share)
                for each, share in zip(ways, shares, strict=True)
            )
            # Shares are not whole streams.
            slack_s = max(each.per_stream_s for each in ways)
            with self.subTest(seed=seed):
                self.assertLessEqual(found_s, best_s + slack_s)


class DrawTest(AsyncTestCase):
    """Guards against draws that do not follow the shares."""

    def test_frequency_follows_the_shares(self):
        ways = [way("a"), way("b"), way("c")]
        rng = random.Random(1)
        drawn = Counter(
            draw_way(ways, (0.7, 0.3, 0.0), rng).domain for _ in range(2000)
        )
        self.assertAlmostEqual(0.7, drawn["a"] / 2000, delta=0.05)
        self.assertEqual(0, drawn["c"])

    def test_same_seed_draws_the_same_way(self):
        ways = [way("a"), way("b")]
        drawn = {draw_way(ways, (0.5, 0.5), random.Random(7)).domain for _ in range(9)}
        self.assertEqual(1, len(drawn))
