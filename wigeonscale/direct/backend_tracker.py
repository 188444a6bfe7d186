"""What this entry knows of backend servers from its own requests."""

__all__ = ["BackendState", "BackendTracker"]

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.direct.runs import Run
from wigeonscale.ports import Clock

# A backend server that could not be reached, or stalled a stream, is left alone for
# this long: control marks a dead one silent within about four seconds.
AVOID_LOST_S = 4.0
# One that refused, for lack of room or because it gives layers up, is asked again soon.
AVOID_REFUSED_S = 0.4
# Weight of the newest outcome in the share of failures; about ten count.
FAILURE_RATE_EWMA_WEIGHT = 0.1
# Above this share of failed sends a backend server is left alone for as long as a lost
# one: two in a row, of which the second came after it had been left alone once.
FAILING_RATE = 0.15
IDLE_TTL_S = 60.0
# Control tells the load of all entries with each grant, twice a second by default.
TOTALS_MAX_AGE_S = 2.5


@dataclass(slots=True)
class BackendState:
    """What is known of one backend server.

    Attributes:
        runs: Sends in progress.
        token_layers: Memory that they take, in tokens times layers.
        avoid_until: Instant until which it is left alone if others can serve.
        failures: Recent share of failed sends.
        last_used_at: Last use of this record.
    """

    runs: set[Run] = field(default_factory=set)
    token_layers: float = 0.0
    avoid_until: float = float("-inf")
    failure_rate: float = 0.0
    last_used_at: float = 0.0


class BackendTracker:
    """Beliefs by the name of the incarnation.

    Args:
        clock: Clock port.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._states: dict[str, BackendState] = {}
        self._reported: dict[str, tuple[int, float]] = {}
        self._others: dict[str, tuple[int, float]] = {}
        self._totals_at = float("-inf")
        # Its own load at the instant that word of the others is of.
        self._baseline: dict[str, tuple[int, float]] = {}

    def lookup(self, backend_id: str) -> BackendState:
        """Return what is known of a backend server."""
        state = self._states.get(backend_id)
        if state is None:
            state = self._states[backend_id] = BackendState()
        return state

    def report_loads(self) -> dict[str, tuple[int, float]]:
        """Return this entry's own load by backend server, and remember it as told.

        Returns:
            Sends, and tokens times layers, of each with any.
        """
        self._reported = self._own_loads()
        return self._reported

    def apply_totals(self, totals: Mapping[str, tuple[int, float]]) -> None:
        """Take in what all entries have in progress, this one included.

        Args:
            totals: Sends, and tokens times layers, by backend server.
        """
        self._others = {}
        for name, (running, token_layers) in totals.items():
            own_running, own_layers = self._reported.get(name, (0, 0.0))
            self._others[name] = (
                max(0, running - own_running),
                max(0.0, token_layers - own_layers),
            )
        # What came in before the first word says nothing of the others: callers that
        # were shut out come back in one instant, unevenly.
        is_first = math.isinf(self._totals_at)
        self._baseline = self._own_loads() if is_first else self._reported
        self._totals_at = self._clock.now()

    def _own_loads(self) -> dict[str, tuple[int, float]]:
        return {
            name: (len(state.runs), state.token_layers)
            for name, state in self._states.items()
            if state.runs
        }

    def load_of(self, backend_id: str, entries: int) -> tuple[float, float]:
        """Return what all entries have in progress on a backend server.

        Args:
            backend_id: Name of the incarnation.
            entries: Entries that send alike, this one included. Where control has not
                told the others' load lately, each counts as this one; before it ever
                did, nothing is inferred.

        Returns:
            Sends, and tokens times layers.
        """
        state = self._states.get(backend_id)
        running = len(state.runs) if state is not None else 0
        token_layers = state.token_layers if state is not None else 0.0
        if math.isinf(self._totals_at):
            # Load pattern: all entries start at once while the engines are empty, and
            # callers that could not get in come back in one instant.
            return running, token_layers
        if self._clock.now() - self._totals_at > TOTALS_MAX_AGE_S:
            return running * entries, token_layers * entries
        baseline_running, baseline_layers = self._baseline.get(backend_id, (0, 0.0))
        others = self._others.get(backend_id, (0, 0.0))
        # Word of the others is up to a second old, and all entries act on the same
        # word: what one finds empty all fill at once, and then all leave. So each
        # takes it that the others did since then what it did itself.
        other_entries = entries - 1
        return (
            max(0, running + others[0] + other_entries * (running - baseline_running)),
            max(
                0.0,
                token_layers
                + others[1]
                + other_entries * (token_layers - baseline_layers),
            ),
        )

    def is_avoided(self, backend_id: str) -> bool:
        """Return whether a backend server is left alone for now."""
        state = self._states.get(backend_id)
        return state is not None and self._clock.now() < state.avoid_until

    def runs_on(self, backend_id: str) -> Collection[Run]:
        """Return this entry's sends in progress on a backend server."""
        state = self._states.get(backend_id)
        return state.runs if state is not None else ()

    def begin(self, run: Run) -> None:
        """Count a send in."""
        run.progress_at = self._clock.now()
        for name in run.backend_ids:
            state = self.lookup(name)
            state.runs.add(run)
            state.token_layers += run.token_layers.get(name, 0.0)
            state.last_used_at = run.progress_at

    def replace(
        self,
        run: Run,
        backend_ids: tuple[str, ...],
        token_layers: dict[str, float],
    ) -> None:
        """Count a send out where it ran, and in where it goes on."""
        self.end(run)
        run.backend_ids = backend_ids
        run.token_layers = token_layers
        self.begin(run)

    def end(self, run: Run) -> None:
        """Count a send out."""
        for name in run.backend_ids:
            state = self.lookup(name)
            state.runs.discard(run)
            state.token_layers -= run.token_layers.get(name, 0.0)

    def note_outcome(self, backend_id: str, *, failed: bool) -> None:
        """Count one finished send in the share of failures."""
        state = self.lookup(backend_id)
        state.failure_rate += FAILURE_RATE_EWMA_WEIGHT * (failed - state.failure_rate)

    def note_refused(self, backend_id: str) -> None:
        """Leave a backend server alone for a moment."""
        self._avoid(backend_id, AVOID_REFUSED_S)

    def note_unanswered(self, backend_id: str) -> None:
        """Leave a backend server alone that broke a send off before any answer.

        Load pattern: an engine that resets what it gets has nothing to do, so that
        every request would go there next.
        """
        self.note_outcome(backend_id, failed=True)
        is_failing = self.lookup(backend_id).failure_rate > FAILING_RATE
        self._avoid(backend_id, AVOID_LOST_S if is_failing else AVOID_REFUSED_S)

    def note_lost(self, backend_id: str) -> None:
        """Leave a backend server alone, and take all that runs there off it."""
        self._avoid(backend_id, AVOID_LOST_S)
        for run in list(self.lookup(backend_id).runs):
            run.reroute_or_abort()

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Forget backend servers that are gone and idle.

        Args:
            backend_ids: Those that exist.
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
