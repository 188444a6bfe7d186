"""Finds out why generations stand still, and ends the waits that are in vain.

Load pattern: an engine that dies or goes dark stalls every stream through it at the
same moment. The engines cut such work off only after two or three seconds; callers
leave after two without an event. So one look at all runs fifty times a second, one
question to the first engine of a quiet path however many runs are quiet, and all runs
through the engine that it names go on elsewhere at once. Most dark engines are found
before that question, by probes of all engines of the path.
"""

__all__ = ["StallDetector"]

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.fleet import Fleet
from wigeonscale.direct.probing import EngineProber
from wigeonscale.direct.runs import Run
from wigeonscale.ports import Clock, Reach
from wigeonscale.ports.orders import EngineOrders

CHECK_INTERVAL_S = 0.02
# Events come every 30 to 60 ms, and first ones within 150 ms, on a sound path with
# usual load; a pause over 200 ms is late already.
STALL_TIMEOUT_S = 0.25
FIRST_EVENT_STALL_TIMEOUT_S = 0.4
# A path is named to control, and its engines are probed, once so many of its own
# intervals between events are over, and this time at least: a probe, the news of it and
# another path take the rest of the 200 or 300 ms after which a pause is late.
HINT_AFTER_INTERVALS = 1.5
MIN_HINT_STALL_S = 0.06
# A path of an answer that has not begun is in question from here on: first events take
# 60 ms, 120 ms at the 99th percentile, and shall come within 500 ms of the request.
FIRST_EVENT_HINT_S = 0.25
# A path on which events take so many times as long as its load explains has a slow
# engine; where it does not know the load of a moment ago, an entry is wrong by less.
SLOW_FACTOR = 2.0
# A look that comes this late or later: what was not read meanwhile is no quiet of the
# engines. To read a large document takes longer than that.
MIN_LAG_S = 0.03
# A look at all runs that comes this late means that this process did not get its turn;
# what it did not read meanwhile says nothing of the engines.
LAGGING_THRESHOLD_S = 0.1
# For so long after that a connection that did not open in time is not held against the
# engine either.
LAGGING_HOLD_S = 1.0
# What a report says is some hundred ms old, so an answer without a culprit is asked
# for again after this long.
QUERY_INTERVAL_S = 0.2
# A first engine that says nothing for so long while its streams stand still is lost: a
# lost packet costs 200 ms, and callers leave after two seconds.
HEAD_STATUS_TIMEOUT_S = 0.3
# A wait that nothing explains is ended here: callers leave after two seconds, and
# another path needs some tenths.
ABORT_STALL_S = 1.3
# Engines that answer and name no culprit are busy. Sent elsewhere, the work would be
# read once more, by engines that are as busy: it waits, unless most others at the same
# first engine move on, for then its connection has gone silent.
HEALTHY_TTL_S = 0.6
# Runs through an engine that control calls silent are ended once they are this quiet.
SILENT_ENGINE_STALL_S = 0.06

logger = logging.getLogger(__name__)


class StallDetector:
    """Watches the runs of generations.

    Args:
        tracker: Told which engines are lost; it ends the waits of their runs.
        clock: Clock port.
        orders: Asks engines how they are.
        fleet: Returns the backend servers as of now.
        suspect: Tells control of an engine.
        hint: Tells control of an engine that may be to blame, as others may.
        reach: Finds out whether an engine's VM answers.
        delay_s: Returns the delay of one way to a failure domain, in seconds.
    """

    def __init__(
        self,
        *,
        tracker: BackendTracker,
        clock: Clock,
        orders: EngineOrders,
        fleet: Callable[[], Fleet],
        suspect: Callable[[str], None],
        hint: Callable[[str], None],
        reach: Reach,
        delay_s: Callable[[str], float] = lambda domain: 0.0,
    ):
        self._tracker = tracker
        self._clock = clock
        self._orders = orders
        self._fleet = fleet
        self._suspect = suspect
        self._hint = hint
        self._runs: set[Run] = set()
        self._queried_at: dict[str, float] = {}
        self._healthy_at: dict[str, float] = {}
        self._queries: set[asyncio.Task] = set()
        self._lagging_until = float("-inf")
        self._prober = EngineProber(
            reach=reach,
            clock=clock,
            fleet=fleet,
            delay_s=delay_s,
            has_progress=self._has_progress,
            has_event_since=self._has_event_since,
            on_lost=self._note_lost,
        )

    @property
    def running(self) -> int:
        """How many runs are watched."""
        return len(self._runs)

    @property
    def is_lagging(self) -> bool:
        """Whether this process lately did not get its turn in time."""
        return self._clock.now() < self._lagging_until

    def add(self, run: Run) -> None:
        """Watch a run.

        Args:
            run: It has begun, and its ``watch`` is set.
        """
        self._runs.add(run)

    def remove(self, run: Run) -> None:
        """Watch a run no more."""
        self._runs.discard(run)

    async def run(self) -> None:
        """Look at all runs until cancelled."""
        try:
            while True:
                asleep_at = self._clock.now()
                await self._clock.sleep(CHECK_INTERVAL_S)
                self.note_lag(self._clock.now() - asleep_at - CHECK_INTERVAL_S)
                self.check()
        finally:
            for task in self._queries:
                task.cancel()
            await asyncio.gather(*self._queries, return_exceptions=True)
            await self._prober.close()

    def note_lag(self, late_s: float) -> None:
        """Take a late look at the runs into account.

        Load pattern: one entry is left for all callers, or its VM is slow. All its
        streams stand still at once, and cut off, they would all be read again.

        Args:
            late_s: Time by which it is late, in seconds.
        """
        if late_s < MIN_LAG_S:
            return
        now = self._clock.now()
        for run in self._runs:
            run.progress_at = min(now, run.progress_at + late_s)
        if late_s < LAGGING_THRESHOLD_S:
            return
        self._lagging_until = now + LAGGING_HOLD_S
        logger.warning(
            "the process was behind",
            extra=log_fields(late_s=round(late_s, 3), running=len(self._runs)),
        )

    def check(self) -> None:
        """Look at all runs once."""
        now = self._clock.now()
        fleet = self._fleet()
        silent = {s.backend_id for s in fleet.by_id.values() if s.is_silent}
        heads = set()
        for run in list(self._runs):
            quiet_s = now - run.progress_at
            if quiet_s > SILENT_ENGINE_STALL_S and not silent.isdisjoint(
                run.backend_ids
            ):
                run.reroute_or_abort()
            elif quiet_s > ABORT_STALL_S and self._should_abort(run, now):
                run.abort_wait()
            elif quiet_s > (
                STALL_TIMEOUT_S if run.has_events else FIRST_EVENT_STALL_TIMEOUT_S
            ):
                heads.add(run.backend_ids[0])
        for head in heads:
            self._query_head(head, now)
        self._report_stalled_engines(now)

    def _report_stalled_engines(self, now: float) -> None:
        """Name the engines of quiet and slow paths to control, and probe the former."""
        quiet: Counter[str] = Counter()
        slow, moving = set(), set()
        for run in self._runs:
            if _is_stalled(run, now):
                quiet.update(run.backend_ids)
            elif run.has_events:
                (slow if _is_slow(run) else moving).update(run.backend_ids)
        # An engine that another run of this entry moves through as usual is sound.
        for name in (quiet.keys() | slow) - moving:
            self._hint(name)
        # An entry short of processor time sees quiet everywhere, and probes would take
        # more of it.
        if not self.is_lagging:
            self._prober.start_round(
                [n for n, _ in quiet.most_common() if n not in moving]
            )

    def _has_progress(self, name: str) -> bool:
        """Return whether nothing is to be said against an engine."""
        now = self._clock.now()
        return self.is_lagging or any(
            run.has_events and not _is_stalled(run, now)
            for run in self._tracker.runs_on(name)
        )

    def _has_event_since(self, instant: float) -> bool:
        return any(run.progress_at > instant for run in self._runs if run.has_events)

    def _note_lost(self, name: str) -> None:
        self._tracker.note_lost(name)
        self._suspect(name)

    def _should_abort(self, run: Run, now: float) -> bool:
        head = run.backend_ids[0]
        if now - self._healthy_at.get(head, float("-inf")) > HEALTHY_TTL_S:
            return True
        others = [r for r in self._runs if r is not run and r.backend_ids[0] == head]
        moving = sum(now - other.progress_at < STALL_TIMEOUT_S for other in others)
        return 2 * moving >= len(others)

    def _query_head(self, head: str, now: float) -> None:
        if now - self._queried_at.get(head, float("-inf")) < QUERY_INTERVAL_S:
            return
        self._queried_at[head] = now
        task = asyncio.create_task(self._find_culprit(head))
        self._queries.add(task)
        task.add_done_callback(self._queries.discard)

    async def _find_culprit(self, head: str) -> None:
        fleet = self._fleet()
        server = fleet.by_id.get(head)
        if server is None:
            self._tracker.note_lost(head)
            return
        status = await self._orders.status(
            server.address, limit_s=HEAD_STATUS_TIMEOUT_S
        )
        if status is None:
            culprits = [head]
        else:
            named = [fleet.by_address.get(at) for at in status.held_up_by]
            culprits = [each.backend_id for each in named if each is not None]
            if not culprits:
                self._healthy_at[head] = self._clock.now()
        logger.info(
            "quiet path",
            extra=log_fields(
                outcome="culprit" if culprits else "none-named",
                head=head,
                culprits=",".join(culprits),
                running=None if status is None else status.running,
                pace=None if status is None else status.pace,
            ),
        )
        for name in set(culprits):
            self._note_lost(name)


def _is_stalled(run: Run, now: float) -> bool:
    """Return whether a run stands still for longer than its events usually take."""
    expected_interval_s = FIRST_EVENT_HINT_S
    if run.has_events:
        expected_interval_s = max(
            MIN_HINT_STALL_S, HINT_AFTER_INTERVALS * run.mean_interval_s
        )
    return now - run.progress_at > expected_interval_s


def _is_slow(run: Run) -> bool:
    """Return whether its events take far longer than the load of its path explains."""
    least_s = max(MIN_HINT_STALL_S, SLOW_FACTOR * run.expected_interval_s)
    return run.expected_interval_s > 0 and run.recent_interval_s > least_s
