"""Detects stalled generations and the engines that cause them.

An engine that crashes or becomes unreachable stalls every stream through it at once.
The other engines cut off such streams only after two or three seconds, but callers
disconnect after two seconds without an event. So all runs are checked fifty times a
second. The first engine of a stalled path is queried once, however many of its runs are
stalled, and all runs through the engines that it names are rerouted or retried at once.
Probes of all engines of the path detect most unreachable engines before that query.
"""

__all__ = ["StallDetector"]

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.fleet import Fleet
from wigeonscale.direct.loss_evidence import suspected_engines
from wigeonscale.direct.probing import EngineProber
from wigeonscale.direct.runs import Run
from wigeonscale.ports import Clock, ReachabilityCheck
from wigeonscale.ports.orders import EngineOrders

CHECK_INTERVAL_S = 0.02
# Time without an event after which the first engine of a path is queried. On a healthy
# path with usual load, events arrive every 30 to 60 ms and first events within 150 ms;
# a pause of more than 200 ms is already late.
STALL_TIMEOUT_S = 0.25
FIRST_EVENT_STALL_TIMEOUT_S = 0.4
# The engines of a path are reported to control as hints and probed after a pause of
# this many mean event intervals of the run, and at least this time. The probe, its
# report and the switch to another path take the rest of the 200 or 300 ms after which a
# pause is late.
HINT_AFTER_INTERVALS = 1.5
MIN_HINT_STALL_S = 0.06
# The same before the first event. First events take 60 ms, 120 ms at the 99th
# percentile, and are due within 500 ms of the request.
FIRST_EVENT_HINT_S = 0.25
# A path whose event intervals exceed the expected ones by this factor has a slow
# engine. Errors from outdated load data of an entry are smaller.
SLOW_FACTOR = 2.0
# A check that is late by at least this time shows that this process did not read events
# meanwhile, so the time does not count as a stall. Reading a large document takes
# longer than this.
MIN_LAG_S = 0.03
# A check that is late by at least this time shows that this process lacked processor
# time, and the pauses that it sees say nothing about the engines.
LAGGING_THRESHOLD_S = 0.1
# After such a lag, a connection timeout does not mark an engine as lost for this long.
LAGGING_HOLD_S = 1.0
# Status reports of engines are some hundred milliseconds old, so an engine that named
# no culprit is queried again after this time.
QUERY_INTERVAL_S = 0.2
# A first engine with stalled streams that does not respond within this time is lost. A
# lost packet costs 200 ms, and callers disconnect after two seconds.
HEAD_STATUS_TIMEOUT_S = 0.3
# A stall without a known cause is aborted after this time. Callers disconnect after two
# seconds, and another path needs some tenths of a second.
ABORT_STALL_S = 1.3
# A first engine that responds without a culprit counts as healthy but busy for this
# time. Its stalled runs wait, because another path would prefill them again on engines
# that are as busy. A run is aborted all the same if at least half of the other runs at
# that engine get events, because then its own connection has failed.
HEALTHY_TTL_S = 0.6
# Runs through an engine that control marks silent leave it after a pause of this time.
SILENT_ENGINE_STALL_S = 0.06

logger = logging.getLogger(__name__)


class StallDetector:
    """Monitors the running generations for stalls.

    Args:
        tracker: Receives the lost engines, and reroutes or aborts their runs.
        clock: Clock port.
        orders: Queries the status of engines.
        fleet: Returns the current backend servers.
        suspect: Reports an engine to control as lost.
        witness: The same for an engine that did not answer the probes of this entry.
        hint: Reports an engine to control as one of several possible causes of a stall.
        check_reachable: Checks whether the VM of an engine responds.
        delay_s: Returns the one-way delay to a failure domain, in seconds.
        on_lag: Called after each check with its delay in seconds.
    """

    def __init__(
        self,
        *,
        tracker: BackendTracker,
        clock: Clock,
        orders: EngineOrders,
        fleet: Callable[[], Fleet],
        suspect: Callable[[str], None],
        witness: Callable[[str], None],
        hint: Callable[[str], None],
        check_reachable: ReachabilityCheck,
        delay_s: Callable[[str], float] = lambda domain: 0.0,
        on_lag: Callable[[float], None] = lambda late_s: None,
    ):
        self._tracker = tracker
        self._clock = clock
        self._orders = orders
        self._fleet = fleet
        self._suspect = suspect
        self._witness = witness
        self._hint = hint
        self._on_lag = on_lag
        self._runs: set[Run] = set()
        self._queried_at: dict[str, float] = {}
        self._healthy_at: dict[str, float] = {}
        self._queries: set[asyncio.Task] = set()
        self._lagging_until = float("-inf")
        self._check_due_at = float("inf")
        # Delay of the next check that was accounted for before it.
        self._late_s = 0.0
        self._prober = EngineProber(
            check_reachable=check_reachable,
            clock=clock,
            fleet=fleet,
            delay_s=delay_s,
            has_progress=self._has_progress,
            has_event_since=self._has_event_since,
            on_lost=self._note_unreachable,
        )

    @property
    def running(self) -> int:
        """Number of monitored runs."""
        return len(self._runs)

    @property
    def is_lagging(self) -> bool:
        """Whether this process recently lacked processor time."""
        return self._clock.now() < self._lagging_until

    def add(self, run: Run) -> None:
        """Start to monitor a run.

        Args:
            run: A run in progress with its ``wait_timeout`` set.
        """
        self._runs.add(run)

    def remove(self, run: Run) -> None:
        """Stop monitoring a run."""
        self._runs.discard(run)

    async def run(self) -> None:
        """Check all runs periodically until cancelled."""
        try:
            while True:
                self._check_due_at = self._clock.now() + CHECK_INTERVAL_S
                await self._clock.sleep(CHECK_INTERVAL_S)
                self._account_for_lag()
                late_s, self._late_s = self._late_s, 0.0
                self._on_lag(late_s)
                self.check()
        finally:
            for task in self._queries:
                task.cancel()
            await asyncio.gather(*self._queries, return_exceptions=True)
            await self._prober.close()

    def check_after_change(self) -> None:
        """Check all runs after an update from control, whose reading takes time."""
        self._account_for_lag()
        self.check()

    def _account_for_lag(self) -> None:
        now = self._clock.now()
        late_s = now - self._check_due_at
        if late_s > 0:
            self._check_due_at = now
            self._late_s += late_s
            self.note_lag(late_s)

    def note_lag(self, late_s: float) -> None:
        """Account for a check that came late.

        If one entry is left for all callers, or its VM is slow, all its streams appear
        stalled at once. If they were aborted, engines would prefill all of them again.

        Args:
            late_s: Delay of the check, in seconds.
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
            "stall check was late",
            extra=log_fields(late_s=round(late_s, 3), running=len(self._runs)),
        )

    def check(self) -> None:
        """Check all runs once."""
        now = self._clock.now()
        fleet = self._fleet()
        silent = {s.backend_id for s in fleet.by_id.values() if s.is_silent}
        heads = set()
        for run in list(self._runs):
            if run.is_writing:
                continue
            pause_s = now - run.progress_at
            if pause_s > SILENT_ENGINE_STALL_S and not silent.isdisjoint(
                run.backend_ids
            ):
                run.leave_engines()
            elif pause_s > ABORT_STALL_S and self._should_abort(run, now):
                run.leave_engines()
            elif pause_s > (
                STALL_TIMEOUT_S if run.has_events else FIRST_EVENT_STALL_TIMEOUT_S
            ):
                heads.add(run.backend_ids[0])
        for head in heads:
            self._query_head(head, now)
        self._report_stalled_engines(now)

    def _report_stalled_engines(self, now: float) -> None:
        """Hint engines of stalled and slow paths to control, and probe the former."""
        stalled: Counter[str] = Counter()
        slow, active = set(), set()
        # Overdue runs that are evidence even if others through their engines are not.
        early = []
        for run in self._runs:
            if _is_stalled(run, now):
                stalled.update(run.backend_ids)
                if run.detects_early and run.has_events:
                    early.append(run)
            elif run.has_events:
                (slow if _is_slow(run) else active).update(run.backend_ids)
        # An engine is healthy if another run through it gets events as usual.
        for name in (stalled.keys() | slow) - active:
            self._hint(name)
        # To an entry that lacks processor time, all paths seem stalled, and probes
        # would cost more of it.
        if not self.is_lagging:
            suspects = suspected_engines(early, self._tracker.runs_on)
            self._prober.start_round(
                [
                    name
                    for name, _ in stalled.most_common()
                    if name not in active or name in suspects
                ],
                suspects=suspects,
            )

    def _has_progress(self, name: str, since: float) -> bool:
        """Return whether there is no evidence that an engine is lost."""
        if self.is_lagging:
            return True
        now = self._clock.now()
        runs = self._tracker.runs_on(name)
        if any(run.detects_early for run in runs):
            # Other runs may not be overdue yet, which does not show that they get
            # events.
            return any(run.latest_event_at > since for run in runs)
        return any(run.has_events and not _is_stalled(run, now) for run in runs)

    def _has_event_since(self, instant: float) -> bool:
        return any(run.progress_at > instant for run in self._runs if run.has_events)

    def _note_unreachable(self, name: str) -> None:
        self._tracker.note_lost(name)
        self._witness(name)

    def _should_abort(self, run: Run, now: float) -> bool:
        head = run.backend_ids[0]
        if now - self._healthy_at.get(head, float("-inf")) > HEALTHY_TTL_S:
            return True
        others = [r for r in self._runs if r is not run and r.backend_ids[0] == head]
        active = sum(now - other.progress_at < STALL_TIMEOUT_S for other in others)
        return 2 * active >= len(others)

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
        asked_at = self._clock.now()
        status = await self._orders.status(
            server.address, timeout_s=HEAD_STATUS_TIMEOUT_S
        )
        if status is None:
            # Events since then show that only its status is late.
            runs = self._tracker.runs_on(head)
            is_active = any(run.latest_event_at > asked_at for run in runs)
            culprits = [] if is_active else [head]
        else:
            self._tracker.note_went_on([head])
            named = [fleet.by_address.get(at) for at in status.held_up_by]
            culprits = [each.backend_id for each in named if each is not None]
        if not culprits:
            self._healthy_at[head] = self._clock.now()
        logger.info(
            "first engine of a stalled path queried",
            extra=log_fields(
                outcome="culprit" if culprits else "none-named",
                head=head,
                culprits=",".join(culprits),
                running=None if status is None else status.running,
                pace=None if status is None else status.pace,
            ),
        )
        # The status of the first engine is no finding of this entry: two entries may
        # have it from the same engine.
        for name in set(culprits):
            self._tracker.note_lost(name)
            self._suspect(name)


def _is_stalled(run: Run, now: float) -> bool:
    """Return whether the pause of a run is longer than its usual event intervals."""
    if run.is_writing:
        return False
    expected_interval_s = FIRST_EVENT_HINT_S
    if run.has_events:
        expected_interval_s = max(
            MIN_HINT_STALL_S, HINT_AFTER_INTERVALS * run.mean_interval_s
        )
    return now - run.progress_at > expected_interval_s


def _is_slow(run: Run) -> bool:
    """Return whether its events are much slower than the load of its path explains."""
    least_s = max(MIN_HINT_STALL_S, SLOW_FACTOR * run.expected_interval_s)
    return run.expected_interval_s > 0 and run.recent_interval_s > least_s
