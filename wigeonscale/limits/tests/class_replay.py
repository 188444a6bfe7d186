"""Replays a load on the engines of one failure domain, with or without the reserve.

Entries do not see each other's queues, so free capacity goes to whichever request asks
first. The totals are half a second to a second old, as those that control sends.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wigeonscale.limits import (
    CLASS_WINDOW_S,
    NO_RESERVE,
    ClassCount,
    ReserveLevel,
    class_reserve,
    is_below_floor,
    next_level,
)

STEP_S = 0.02
TOTALS_INTERVAL_S = 0.5
MEAN_RESPONSE_S = 2.0
# Longest wait for a response in time, and patience, by priority: those of routes with
# targets of 502, 602 and 1,203 ms for the first event.
WAITS_S = {0: (0.25, 1.5), 1: (0.35, 1.9), 2: (0.95, 4.3)}


@dataclass(slots=True)
class ClassResult:
    """Outcomes of one class.

    Attributes:
        in_time: Generations sent within the on-time wait.
        late: Generations sent later.
        rejected: Generations not sent within their patience.
    """

    in_time: int = 0
    late: int = 0
    rejected: int = 0

    @property
    def total(self) -> int:
        """Number of generations with an outcome."""
        return self.in_time + self.late + self.rejected

    @property
    def in_time_share(self) -> float:
        """Share of the generations that were in time."""
        return self.in_time / self.total

    @property
    def admitted_share(self) -> float:
        """Share of the generations that were sent."""
        return (self.in_time + self.late) / self.total


@dataclass(slots=True)
class ReplayResult:
    """Result of a replay.

    Attributes:
        by_priority: Outcomes by priority.
        holds: Times at which a generation was held back although capacity was free,
            each with its priority.
        short_at: Times of totals in which a class was short, each with its priority.
        levels: Reserve by priority after each totals, with their time.
    """

    by_priority: dict[int, ClassResult] = field(default_factory=dict)
    holds: list[tuple[float, int]] = field(default_factory=list)
    short_at: list[tuple[float, int]] = field(default_factory=list)
    levels: list[tuple[float, dict[int, ReserveLevel]]] = field(default_factory=list)


def replay(
    per_s: Callable[[float, int], float],
    places: Callable[[float], int],
    *,
    priorities: Sequence[int] = (0, 1, 2),
    seconds: float = 30.0,
    seed: int = 1,
    with_reserve: bool = True,
) -> ReplayResult:
    """Replay a load.

    Args:
        per_s: Returns the arrivals per second, by time and priority.
        places: Returns the number of places of the engines at a time.
        priorities: Priorities of the classes.
        seconds: Length of the replay; generations without an outcome do not count.
        seed: Seed of arrivals, response times and the order of requests.
        with_reserve: Whether less urgent classes leave capacity free.
    """
    rng = random.Random(seed)
    result = ReplayResult({priority: ClassResult() for priority in priorities})
    events: list[tuple[float, int, str]] = []
    waiting: list[tuple[int, float]] = []
    ends: list[float] = []
    levels = dict.fromkeys(priorities, NO_RESERVE)
    demand: list[ClassCount] = []
    reported: tuple[list[ClassCount], int] = [], 0
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if step % round(TOTALS_INTERVAL_S / STEP_S) == 0:
            demand, running = reported
            events = [event for event in events if event[0] >= now - CLASS_WINDOW_S]
            reported = _counts(events, waiting, priorities), len(ends)
            if with_reserve:
                total = running + sum(count.waiting for count in demand)
                for priority in priorities:
                    wanted = class_reserve(priority, demand, places=total)
                    levels[priority] = next_level(levels[priority], wanted, now)
            result.levels.append((now, dict(levels)))
            result.short_at += [
                (now, count.priority)
                for count in demand
                if count.waiting or count.rejected
            ]
        for priority in priorities:
            expected = per_s(now, priority) * STEP_S
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                waiting.append((priority, now))
                events.append((now, priority, "arrived"))
        rng.shuffle(waiting)
        left = []
        for priority, arrived_at in waiting:
            on_time_wait_s, patience_s = WAITS_S[priority]
            waited_s = now - arrived_at
            share = levels[priority].share
            if is_below_floor(priority, demand):
                share = 0.0
            outcomes = result.by_priority[priority]
            if len(ends) < places(now) * (1.0 - share):
                heapq.heappush(ends, now + max(0.3, rng.gauss(MEAN_RESPONSE_S, 0.7)))
                events.append((now, priority, "admitted"))
                if waited_s <= on_time_wait_s:
                    outcomes.in_time += 1
                else:
                    outcomes.late += 1
                continue
            if len(ends) < places(now):
                result.holds.append((now, priority))
            if waited_s >= patience_s:
                outcomes.rejected += 1
                events.append((now, priority, "rejected"))
            else:
                left.append((priority, arrived_at))
        waiting = left
    return result


def _counts(
    events: Sequence[tuple[float, int, str]],
    waiting: Sequence[tuple[int, float]],
    priorities: Sequence[int],
) -> list[ClassCount]:
    kinds = [event[1:] for event in events]
    return [
        ClassCount(
            service="s",
            priority=priority,
            domain="a",
            arrived=kinds.count((priority, "arrived")),
            admitted=kinds.count((priority, "admitted")),
            rejected=kinds.count((priority, "rejected")),
            waiting=sum(each[0] == priority for each in waiting),
        )
        for priority in priorities
    ]
