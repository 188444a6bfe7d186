"""Evidence that an engine is lost, from the event times of the runs through it.

Load pattern: an engine with many streams becomes unreachable. The streams of one entry
expect their next events at different times, so waiting until all of them are overdue
takes up to one event interval longer than the first one. If an event holds many tokens,
that interval is a large part of the longest pause that is still on time.
"""

__all__ = ["needs_early_detection", "suspected_engines"]

from collections import Counter
from collections.abc import Callable, Collection, Iterable

from wigeonscale.direct.runs import Run
from wigeonscale.routes import EngineProfile

# A run counts as stalled after one and a half event intervals, and the last run of an
# engine expects its event up to one interval after the first.
DETECTION_INTERVALS = 2.5
# Timeout of the probes of the engines in question.
PROBE_S = 0.05
# Least time from the decision to leave an engine to the next event on another path.
MIN_RECOVERY_S = 0.1
MS_PER_S = 1000.0


def needs_early_detection(
    engine: EngineProfile | None, gap_target_s: float, *, has_classes: bool = False
) -> bool:
    """Return whether a lost engine must be detected from the first overdue run.

    Args:
        engine: Profile of the engines; None for a plain service.
        gap_target_s: Longest pause between two events that is on time; 0 for none.
        has_classes: Whether the service has traffic classes; these always need it.

    Returns:
        Whether a pause would miss its target if detection waited until all runs of an
        engine are overdue, with events as on engines of mean pace.

    Example:
        >>> from wigeonscale.routes import Accelerator
        >>> kind = Accelerator(name="a", size_mb=1.0, pace=8.0, read_factor=1.0)
        >>> engine = EngineProfile(
        ...     step_ms=1.0, event_tokens=5, accelerators={"a": kind}
        ... )
        >>> needs_early_detection(engine, 0.24), needs_early_detection(engine, 0.3)
        (True, False)
    """
    if has_classes:
        return True
    if engine is None or not gap_target_s or not engine.accelerators:
        return False
    paces = [kind.pace for kind in engine.accelerators.values()]
    token_ms = engine.step_ms * sum(paces) / len(paces)
    interval_s = engine.event_tokens * token_ms / MS_PER_S
    detection_s = DETECTION_INTERVALS * interval_s + PROBE_S
    return detection_s + MIN_RECOVERY_S > gap_target_s


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
        Time is proportional to the stalled runs times the engines of a path times the
        runs on an engine.
    """
    counts: Counter[str] = Counter()
    for run in stalled:
        due_at = run.progress_at + run.mean_interval_s
        counts.update(
            name for name in run.backend_ids if not _has_event(runs_on(name), due_at)
        )
    return counts


def _has_event(runs: Collection[Run], after: float) -> bool:
    return any(run.has_events and run.progress_at > after for run in runs)
