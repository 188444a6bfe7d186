"""Load and health of backend servers as this entry observes them."""

__all__ = ["BackendState", "BackendTracker"]

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.direct.runs import Run
from wigeonscale.ports import Clock

# An unreachable or stalled backend server is avoided for this long; control marks a
# crashed server as silent within about four seconds.
AVOID_LOST_S = 4.0
# A server that refused a request is short of capacity or is unloading layers, and may
# accept requests again soon.
AVOID_REFUSED_S = 0.4
# EWMA weight of the newest outcome in the failure rate; covers about ten outcomes.
FAILURE_RATE_EWMA_WEIGHT = 0.1
# Failure rate above which a server is avoided for as long as a lost one. Two failures
# in a row exceed it; the second comes after the server was avoided once.
FAILING_RATE = 0.15
IDLE_TTL_S = 60.0
# Control sends the totals of all entries with each lease grant, by default twice a
# second.
TOTALS_MAX_AGE_S = 2.5
# Own sends in progress from which on they tell this entry's share of the traffic.
MIN_SENDS_FOR_SHARE = 16
# Shares of entries with similar traffic differ by chance, by less than this factor.
UNEVEN_SHARE_FACTOR = 2.0
# When all entries start at once, their first reports arrive one after the other, so the
# first totals say little about shares.
SHARE_SETTLING_S = 3.0


@dataclass(slots=True)
class BackendState:
    """State of one backend server.

    Attributes:
        runs: Sends in progress.
        token_layers: Their KV cache demand, in tokens times layers.
        avoid_until: Time until which the server is used only as a last resort.
        lost_until: The same, because it may be lost.
        failure_rate: Moving average of the share of failed sends.
        last_used_at: Time of the last send.
    """

    runs: set[Run] = field(default_factory=set)
    token_layers: float = 0.0
    avoid_until: float = float("-inf")
    lost_until: float = float("-inf")
    failure_rate: float = 0.0
    last_used_at: float = 0.0


class BackendTracker:
    """Tracks load and health of backend servers, by name of the incarnation.

    The load of other entries comes from control.

    Args:
        clock: Clock port.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._states: dict[str, BackendState] = {}
        self._reported: dict[str, tuple[int, float]] = {}
        self._others: dict[str, tuple[int, float]] = {}
        self._totals_at = float("-inf")
        self._first_totals_at = float("inf")
        # Sends in progress, counted once for each backend server.
        self._own_running = 0
        self._others_running = 0
        # This entry's own load at the time to which the totals refer.
        self._baseline: dict[str, tuple[int, float]] = {}

    def lookup(self, backend_id: str) -> BackendState:
        """Return the state of a backend server; create it if there is none."""
        state = self._states.get(backend_id)
        if state is None:
            state = self._states[backend_id] = BackendState()
        return state

    def report_loads(self) -> dict[str, tuple[int, float]]:
        """Return this entry's own load, and record it as reported to control.

        Returns:
            Number of sends, and tokens times layers, by backend server with any sends.
        """
        self._reported = self._own_loads()
        return self._reported

    def apply_totals(self, totals: Mapping[str, tuple[int, float]]) -> None:
        """Apply the total load of all entries, this one included.

        Args:
            totals: Number of sends, and tokens times layers, by backend server.
        """
        self._others = {}
        for name, (running, token_layers) in totals.items():
            own_running, own_layers = self._reported.get(name, (0, 0.0))
            self._others[name] = (
                max(0, running - own_running),
                max(0.0, token_layers - own_layers),
            )
        self._others_running = sum(running for running, _ in self._others.values())
        # Own requests from before the first totals say nothing about other entries:
        # callers that were cut off return all at once and unevenly over the entries.
        is_first = math.isinf(self._totals_at)
        if is_first:
            self._first_totals_at = self._clock.now()
        self._baseline = self._own_loads() if is_first else self._reported
        self._totals_at = self._clock.now()

    def _own_loads(self) -> dict[str, tuple[int, float]]:
        return {
            name: (len(state.runs), state.token_layers)
            for name, state in self._states.items()
            if state.runs
        }

    def load_of(self, backend_id: str, entry_count: int) -> tuple[float, float]:
        """Return what all entries have in progress on a backend server.

        Args:
            backend_id: Name of the incarnation.
            entry_count: Number of entries, this one included. If the totals are stale,
                each other entry is assumed to have the same load as this one, unless
                this one has most of the traffic. Before the first totals nothing is
                assumed.

        Returns:
            Number of sends, and tokens times layers.
        """
        state = self._states.get(backend_id)
        running = len(state.runs) if state is not None else 0
        token_layers = state.token_layers if state is not None else 0.0
        if math.isinf(self._totals_at):
            # When all entries start at once, the engines are empty and callers return
            # all at once, so the own load must not be extrapolated.
            return running, token_layers
        other_entries = self._similar_entries(entry_count)
        if self._clock.now() - self._totals_at > TOTALS_MAX_AGE_S:
            return running * (1 + other_entries), token_layers * (1 + other_entries)
        baseline_running, baseline_layers = self._baseline.get(backend_id, (0, 0.0))
        others = self._others.get(backend_id, (0, 0.0))
        # Totals are up to a second old, and all entries act on the same ones: they
        # would fill an idle server together and then leave it together. So each entry
        # assumes that the others changed their load since then as it did itself.
        return (
            max(0, running + others[0] + other_entries * (running - baseline_running)),
            max(
                0.0,
                token_layers
                + others[1]
                + other_entries * (token_layers - baseline_layers),
            ),
        )

    def share_factor(self, entry_count: int) -> float:
        """Return this entry's share of the traffic as a multiple of an even share.

        Args:
            entry_count: Number of entries, this one included.

        Returns:
            The factor, by the sends in progress; 1 if it is unknown.
        """
        is_settled = self._clock.now() - self._first_totals_at >= SHARE_SETTLING_S
        if not is_settled or self._own_running < MIN_SENDS_FOR_SHARE:
            return 1.0
        total = self._own_running + self._others_running
        return self._own_running * entry_count / total

    def _similar_entries(self, entry_count: int) -> float:
        """Return the traffic of the other entries as a multiple of this entry's.

        Load pattern: a load balancer hands most new connections of a region to one
        entry. It must not assume that all the others have as many more requests.
        """
        if self.share_factor(entry_count) < UNEVEN_SHARE_FACTOR:
            return entry_count - 1
        ratio = UNEVEN_SHARE_FACTOR * self._others_running / self._own_running
        return min(entry_count - 1, ratio)

    def is_avoided(self, backend_id: str) -> bool:
        """Return whether a backend server is avoided now."""
        state = self._states.get(backend_id)
        if state is None:
            return False
        return self._clock.now() < max(state.avoid_until, state.lost_until)

    def runs_on(self, backend_id: str) -> Collection[Run]:
        """Return this entry's sends in progress on a backend server."""
        state = self._states.get(backend_id)
        return state.runs if state is not None else ()

    def begin(self, run: Run) -> None:
        """Add a send to the load of its backend servers."""
        run.progress_at = self._clock.now()
        for name in run.backend_ids:
            state = self.lookup(name)
            self._own_running += run not in state.runs
            state.runs.add(run)
            state.token_layers += run.token_layers.get(name, 0.0)
            state.last_used_at = run.progress_at

    def replace(
        self,
        run: Run,
        backend_ids: tuple[str, ...],
        token_layers: dict[str, float],
    ) -> None:
        """Move a send in progress to other backend servers."""
        self.end(run)
        run.backend_ids = backend_ids
        run.token_layers = token_layers
        self.begin(run)

    def end(self, run: Run) -> None:
        """Remove a send from the load of its backend servers."""
        for name in run.backend_ids:
            state = self.lookup(name)
            self._own_running -= run in state.runs
            state.runs.discard(run)
            state.token_layers -= run.token_layers.get(name, 0.0)

    def note_outcome(self, backend_id: str, *, failed: bool) -> None:
        """Update the failure rate with one finished send."""
        state = self.lookup(backend_id)
        state.failure_rate += FAILURE_RATE_EWMA_WEIGHT * (failed - state.failure_rate)

    def note_refused(self, backend_id: str) -> None:
        """Avoid a backend server for a short time after it refused a send."""
        self._avoid(backend_id, AVOID_REFUSED_S)

    def note_unanswered(self, backend_id: str) -> None:
        """Avoid a backend server that closed a connection without any response.

        An engine that resets all its connections appears idle, so without this it
        would attract every request.
        """
        self.note_outcome(backend_id, failed=True)
        is_failing = self.lookup(backend_id).failure_rate > FAILING_RATE
        self._avoid(backend_id, AVOID_LOST_S if is_failing else AVOID_REFUSED_S)

    def note_lost(self, backend_id: str) -> None:
        """Avoid a backend server that may be lost; its sends leave it if they can."""
        state = self.lookup(backend_id)
        state.lost_until = self._clock.now() + AVOID_LOST_S
        for run in list(state.runs):
            run.leave_engines()

    def note_went_on(self, backend_ids: Iterable[str]) -> None:
        """Use backend servers again that were silent and went on."""
        for name in backend_ids:
            self.lookup(name).lost_until = float("-inf")

    def note_ended(self, backend_id: str) -> None:
        """Avoid an incarnation that has ended, and abort the sends that it received."""
        self.note_lost(backend_id)
        for run in list(self.lookup(backend_id).runs):
            if run.backend_ids[0] == backend_id:
                run.abort_wait()

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Drop the state of backend servers that are gone and idle.

        Args:
            backend_ids: Existing backend servers.
        """
        existing = set(backend_ids)
        oldest = self._clock.now() - IDLE_TTL_S
        for name, state in list(self._states.items()):
            is_idle = not state.runs and state.last_used_at < oldest
            if name not in existing and is_idle:
                del self._states[name]

    def _avoid(self, backend_id: str, seconds: float) -> None:
        state = self.lookup(backend_id)
        state.avoid_until = max(state.avoid_until, self._clock.now() + seconds)
