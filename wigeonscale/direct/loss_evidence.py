"""Evidence that an engine is lost, from the event times of the runs through it.

Load pattern: an engine with many streams becomes unreachable. The streams of one entry
expect their next events at different times, so waiting until all of them are overdue
takes up to one event interval longer than the first one. If an event holds many tokens,
that interval is a large part of the longest pause that is still on time.
"""

__all__ = ["suspected_engines"]

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from wigeonscale.direct.runs import Run


def suspected_engines(
    stalled: Iterable[Run], runs_on: Callable[[str], Collection[Run]]
) -> Counter[str]:
    """Return the engines that may have stalled runs, with the number of these runs.

    An engine is cleared for a stalled run if another run through it got an event after
    the event of the stalled run was due. A lost engine is never cleared: it was lost
    before that time, and no run through it gets events any more.

    Args:
        stalled: Runs whose next event is overdue.
        runs_on: Returns the runs in progress on an engine, by name.

    Notes:
        Linear in the stalled runs and in the runs on their engines, which are looked at
        once for each engine.
    """
    counts: Counter[str] = Counter()
    latest_events: dict[str, float] = {}
    for run in stalled:
        due_at = run.progress_at + run.mean_interval_s
        for name in run.backend_ids:
            if name not in latest_events:
                latest_events[name] = _latest_event_at(runs_on(name))
            if latest_events[name] <= due_at:
                counts[name] += 1
    return counts


def _latest_event_at(runs: Collection[Run]) -> float:
    return max((run.progress_at for run in runs if run.has_events), default=-math.inf)
