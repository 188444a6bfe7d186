"""Matches requests to routes, organisations and services."""

__all__ = ["choose_service", "find_organisation", "find_route"]

import random

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.routes.model import Organisation, Route, RouteTable


def find_route(table: RouteTable, host: str, path: str) -> Route:
    """Return the route with the longest matching path prefix.

    Args:
        table: Current route table.
        host: Host as the caller sent it, with or without a port.
        path: Path as the caller sent it, with or without a query.

    Raises:
        WigeonscaleError: ``NO_MATCHING_RULE``.

    Notes:
        One lookup for each segment of the path, however many routes there are.
    """
    prefixes = table.routes.get(host.partition(":")[0].lower(), {})
    prefix = path.partition("?")[0]
    while prefixes and prefix:
        prefix = prefix[: prefix.rfind("/") + 1]
        route = prefixes.get(prefix)
        if route is not None:
            return route
        prefix = prefix[:-1]
    raise WigeonscaleError(
        ErrorKind.NO_MATCHING_RULE, f"no route for {path!r} at {host!r}"
    )


def find_organisation(table: RouteTable, route: Route, key: str) -> Organisation | None:
    """Return the organisation that holds a key, or None if none is required.

    Args:
        table: Current route table.
        route: Route of the request.
        key: Key of the request; empty if there is none.

    Raises:
        WigeonscaleError: ``UNKNOWN_KEY``. The message does not contain the key.
    """
    organisation = table.organisations.get(key)
    if organisation is None and table.needs_keys and not route.public:
        raise WigeonscaleError(
            ErrorKind.UNKNOWN_KEY, f"no organisation holds the key, route {route.name}"
        )
    return organisation


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a random service of a route, according to the weights of the route.

    Args:
        route: Route of the request.
        rng: Source of randomness.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
