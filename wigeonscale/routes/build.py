"""Builds and validates a route table."""

__all__ = ["build_table"]

from collections.abc import Iterable

from wigeonscale.errors import ErrorKind, SettingsError
from wigeonscale.routes.model import (
    CallerLimits,
    Organisation,
    Route,
    RouteTable,
    Service,
)


def build_table(
    *,
    number: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    organisations: Iterable[Organisation] | None,
    limits: CallerLimits,
) -> RouteTable:
    """Return a validated route table.

    Args:
        number: Number that the operator gave the table.
        routes: All routes.
        services: All services.
        organisations: All organisations; None if no request needs a key.
        limits: Limits of callers.

    Raises:
        SettingsError: ``INVALID_DOCUMENT``, for a duplicate or unknown name, a shared
            key, or a bad value; the message names it.

    Notes:
        Linear in the number of routes and keys.
    """
    named = _by_name(services)
    return RouteTable(
        number=number,
        routes=_by_host_and_prefix(routes, named),
        services=named,
        organisations=_by_key(organisations or ()),
        needs_keys=organisations is not None,
        limits=limits,
    )


def _by_name(services: Iterable[Service]) -> dict[str, Service]:
    named: dict[str, Service] = {}
    for service in services:
        if service.name in named:
            _reject(f"service {service.name!r} is defined twice")
        named[service.name] = service
    return named


def _by_host_and_prefix(
    routes: Iterable[Route], services: dict[str, Service]
) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        _check_route(route, services)
        prefixes = by_host.setdefault(route.host, {})
        if route.prefix in prefixes:
            _reject(
                f"routes {prefixes[route.prefix].name!r} and {route.name!r} share"
                f" {route.host}{route.prefix}"
            )
        prefixes[route.prefix] = route
    return by_host


def _check_route(route: Route, services: dict[str, Service]) -> None:
    if route.timeout_s <= 0:
        _reject(f"route {route.name!r}: timeout {route.timeout_s:g} s is not positive")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        _reject(
            f"route {route.name!r}: path prefix {route.prefix!r} must begin and end"
            " with '/'"
        )
    for share in route.shares:
        if share.service not in services:
            _reject(f"route {route.name!r}: unknown service {share.service!r}")
        if share.weight < 0:
            _reject(f"route {route.name!r}: negative weight {share.weight:g}")
    if sum(share.weight for share in route.shares) <= 0:
        _reject(f"route {route.name!r}: the sum of its weights is not positive")


def _by_key(organisations: Iterable[Organisation]) -> dict[str, Organisation]:
    holders: dict[str, Organisation] = {}
    for organisation in organisations:
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation)
            if holder is not organisation:
                _reject(
                    f"organisations {holder.name!r} and {organisation.name!r}"
                    " share a key"
                )
    return holders


def _reject(message: str) -> None:
    raise SettingsError(message, kind=ErrorKind.INVALID_DOCUMENT)
