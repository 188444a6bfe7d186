"""Traffic classes: services whose callers differ in urgency."""

__all__ = ["routes_of", "traffic_classes"]

from wigeonscale.routes.model import Route, RouteTable

# Targets that differ by less are one class: rounding and small differences between
# similar applications call for no different treatment.
MIN_TARGET_RATIO = 1.5


def traffic_classes(table: RouteTable, service: str) -> tuple[int, ...]:
    """Return the priorities of the traffic classes of a service.

    A service has traffic classes if the routes that generate on it differ in priority
    or considerably in their targets. If not, all its callers are equal.

    Args:
        table: Current route table.
        service: Name of the service.

    Returns:
        The distinct priorities of its generating routes, highest (0) first; empty if
        the service has no traffic classes.

    Notes:
        Linear in the routes; to be computed once for each route table.

    Example:
        >>> traffic_classes(RouteTable(), "llm")
        ()
    """
    routes = [route for route in routes_of(table, service) if route.generates]
    priorities = sorted({route.priority for route in routes})
    targets_s = [route.target_s for route in routes if route.target_s > 0]
    differ = len(priorities) > 1 or (
        bool(targets_s) and max(targets_s) >= MIN_TARGET_RATIO * min(targets_s)
    )
    return tuple(priorities) if differ else ()


def routes_of(table: RouteTable, service: str) -> list[Route]:
    """Return the routes with a share for a service."""
    return [
        route
        for by_prefix in table.routes.values()
        for route in by_prefix.values()
        if any(share.service == service for share in route.shares)
    ]
