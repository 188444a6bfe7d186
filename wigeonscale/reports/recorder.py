"""Records the events at an entry from which the burn report is made."""

__all__ = ["BurnRecorder"]

from collections import OrderedDict
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from wigeonscale.ports import Clock
from wigeonscale.reports.objectives import (
    DEFAULT_OBJECTIVES,
    FIRST_TOKEN,
    GAP,
    SUCCESS,
    Objective,
)
from wigeonscale.reports.windows import WINDOWS, EventCounts

MAX_ORGANISATIONS = 30_000
US_PER_S = 1_000_000
MAX_TIME_US = 600 * US_PER_S
SIGNIFICANT_DIGITS = 2


class BurnRecorder:
    """Counts good and bad events per organisation over sliding windows.

    Args:
        clock: Clock port.
        objectives: At most one for each of ``success``, ``first_token``, ``gap``.
        max_organisations: Largest number of organisations. Beyond it the least
            recently active one is dropped; the export has the number dropped.

    Notes:
        Memory per organisation is constant; ``python -m bench rules`` reports it as
        ``reports/bytes_per_organisation``. An organisation without events in the
        long window is removed at the next export.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        objectives: Sequence[Objective] = DEFAULT_OBJECTIVES,
        max_organisations: int = MAX_ORGANISATIONS,
    ):
        self.objectives = tuple(objectives)
        self.dropped = 0
        self._clock = clock
        self._max_organisations = max_organisations
        self._objective_indices = {
            obj.name: index for index, obj in enumerate(self.objectives)
        }
        self._counts: OrderedDict[str, EventCounts] = OrderedDict()
        self._times = {name: _new_histogram() for name in (FIRST_TOKEN, GAP)}

    def record_request(self, organisation: str, ok: bool) -> None:
        """Count a finished request.

        Args:
            organisation: Name of the caller's organisation.
            ok: Whether the complete response reached the caller, or the request was
                rejected through the caller's own fault.
        """
        self._add_events(SUCCESS, organisation, 1, int(not ok))

    def record_first_token(self, organisation: str, seconds: float) -> None:
        """Count the time from a request's arrival to its first token.

        Args:
            organisation: Name of the caller's organisation.
            seconds: Time to the first token, in seconds.
        """
        self._record_time(FIRST_TOKEN, organisation, seconds, 1)

    def record_gap(self, organisation: str, seconds: float, count: int = 1) -> None:
        """Count gaps between consecutive tokens of a response.

        Args:
            organisation: Name of the caller's organisation.
            seconds: Length of each gap, in seconds.
            count: Number of gaps of that length.
        """
        self._record_time(GAP, organisation, seconds, count)

    def export(self) -> dict[str, object]:
        """Return the counts of all windows as a JSON-serialisable object.

        Returns:
            Objectives, windows, (events, bad events) by organisation, objective and
            window, the number of dropped organisations, and the distribution of times
            since the start (encoded HdrHistograms in microseconds).
        """
        now = self._clock.now()
        exported = {
            name: self._export_counts(counts, now)
            for name, counts in self._counts.items()
        }
        idle = [name for name, counts in exported.items() if not _has_events(counts)]
        for name in idle:
            del self._counts[name], exported[name]
        return {
            "windows": {window.name: window.seconds for window in WINDOWS},
            "objectives": [
                {"name": obj.name, "target": obj.target, "threshold_s": obj.threshold_s}
                for obj in self.objectives
            ],
            "organisations": exported,
            "dropped": self.dropped,
            "times_us": {
                name: histogram.encode().decode("ascii")
                for name, histogram in self._times.items()
            },
        }

    def _record_time(
        self, name: str, organisation: str, seconds: float, count: int
    ) -> None:
        index = self._objective_indices.get(name)
        limit_s = self.objectives[index].threshold_s if index is not None else 0.0
        self._add_events(name, organisation, count, count if seconds > limit_s else 0)
        value_us = min(max(int(seconds * US_PER_S), 1), MAX_TIME_US)
        self._times[name].record_value(value_us, count)

    def _add_events(self, name: str, organisation: str, events: int, bad: int) -> None:
        index = self._objective_indices.get(name)
        if index is not None:
            counts = self._counts_of(organisation)
            counts.add(self._clock.now(), index, events, bad)

    def _counts_of(self, organisation: str) -> EventCounts:
        counts = self._counts.get(organisation)
        if counts is None:
            counts = EventCounts(objectives=len(self.objectives))
            self._counts[organisation] = counts
            if len(self._counts) > self._max_organisations:
                self._counts.popitem(last=False)
                self.dropped += 1
            return counts
        self._counts.move_to_end(organisation)
        return counts

    def _export_counts(self, counts: EventCounts, now: float) -> dict[str, dict]:
        return {
            obj.name: {
                window.name: list(totals)
                for window, totals in zip(
                    WINDOWS, counts.totals(now, index), strict=True
                )
            }
            for index, obj in enumerate(self.objectives)
        }


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)


def _has_events(counts: dict[str, dict[str, list[int]]]) -> bool:
    return any(
        events for by_window in counts.values() for events, _ in by_window.values()
    )
