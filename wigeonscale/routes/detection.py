"""Which routes need a lost engine to be detected early."""

__all__ = ["detects_early", "needs_early_detection"]

from wigeonscale.routes.classes import routes_of, traffic_classes
from wigeonscale.routes.model import EngineProfile, RouteTable

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


def detects_early(table: RouteTable, service: str) -> bool:
    """Return whether lost engines of a service are to be detected early.

    Args:
        table: Current route table.
        service: Name of the service.

    Notes:
        Linear in the routes; to be computed once for each route table.
    """
    if traffic_classes(table, service):
        return True
    found = table.services.get(service)
    engine = found.engine if found is not None else None
    return any(
        needs_early_detection(engine, route.gap_target_s)
        for route in routes_of(table, service)
    )
