"""Simulated exchange of load reports between entries, with its delay."""

__all__ = ["LoadExchange"]

import random
from collections.abc import Sequence

from wigeonscale.direct import BackendTracker

# Delay from an entry's report until other entries see it: the control replicas exchange
# load totals with each other a few times a second.
REPORT_DELAY_S = 0.2

# Running requests and token-layers by backend id.
_Loads = dict[str, tuple[int, float]]


class LoadExchange:
    """Periodic load reports of entries, each answered with the totals of all entries.

    Args:
        trackers: Load tracker of each entry.
        interval_s: Interval between two reports of an entry, in seconds.
        rng: Draws the time of each entry's first report within the interval.
    """

    def __init__(
        self,
        trackers: Sequence[BackendTracker],
        *,
        interval_s: float,
        rng: random.Random,
    ):
        self._interval_s = interval_s
        self._schedule = [(rng.random() * interval_s, tracker) for tracker in trackers]
        self._in_flight: list[tuple[float, BackendTracker, _Loads]] = []
        self._last_reports: dict[BackendTracker, _Loads] = {}

    def exchange_due(self, now: float) -> None:
        """Send and deliver the reports that are due.

        Args:
            now: Current time in seconds; never less than in an earlier call.
        """
        while self._in_flight and self._in_flight[0][0] <= now:
            _, tracker, report = self._in_flight.pop(0)
            self._last_reports[tracker] = report
        for index, (due_at, tracker) in enumerate(self._schedule):
            if now >= due_at:
                self._schedule[index] = due_at + self._interval_s, tracker
                self._exchange_loads(tracker, now)

    def _exchange_loads(self, tracker: BackendTracker, now: float) -> None:
        report = dict(tracker.report_loads())
        self._in_flight.append((now + REPORT_DELAY_S, tracker, report))
        tracker.apply_totals(_sum([*(self._last_reports | {tracker: report}).values()]))


def _sum(reports: Sequence[_Loads]) -> _Loads:
    totals: _Loads = {}
    for report in reports:
        for backend_id, (running, token_layers) in report.items():
            subtotal = totals.get(backend_id, (0, 0.0))
            totals[backend_id] = subtotal[0] + running, subtotal[1] + token_layers
    return totals
