"""Admission of generations and the choice of their paths."""

__all__ = [
    "MoveCost",
    "PathChoice",
    "capacity_retry_after_s",
    "choose_detour",
    "choose_path_for",
    "lost_engines",
    "overloaded_error",
    "responds",
]

import dataclasses
from collections.abc import Callable, Collection, Container, Sequence
from dataclasses import dataclass

from wigeonscale.adapters.metrics import METRICS, priority_label
from wigeonscale.direct.choice import (
    PathCosts,
    choose_path,
    choose_server,
    path_costs,
)
from wigeonscale.direct.class_reserves import class_reserves
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.layers import LayerRange, Part, find_detour
from wigeonscale.limits import DEFAULT_RETRY_AFTER_S, retry_after_s

# Additional cost in ms of moving a stream to some layers of an engine.
MoveCost = Callable[[BackendServer, int], float]


@dataclass(frozen=True, slots=True)
class PathChoice:
    """The cheapest path of one send.

    Attributes:
        path: Its parts; None if no path covers all layers.
        full: Its engines without capacity for one more request of mean size.
        throttled: First engines of cheaper paths that accept no request now.
        event_interval_s: Expected time between events in seconds; 0 if unknown.
        has_reserve: Whether capacity was left free for more urgent classes.
    """

    path: list[Part] | None
    full: tuple[str, ...] = ()
    throttled: tuple[str, ...] = ()
    event_interval_s: float = 0.0
    has_reserve: bool = False


def choose_path_for(
    ctx: EntryContext,
    job: Job,
    *,
    lost: Container[str],
    ran_on: Collection[str],
    domain: str = "",
    move_cost: MoveCost | None = None,
) -> PathChoice:
    """Return the path of one send.

    Engines do not queue a request beyond their memory: they preempt running
    generations and prefill them again, which delays all of them. So running
    generations are completed, and a new one waits briefly or is rejected with a
    Retry-After, whatever its size.

    First engines that accept no request now are skipped, and the skip is recorded as
    demand, because entries share the rate limit of an engine by demand.

    Args:
        ctx: Context of the entry.
        job: The request.
        lost: Engines to exclude.
        ran_on: First engines of the paths that may have run the request.
        domain: If given, the path uses only engines of this failure domain that
            respond.
        move_cost: If given, cost to add for each part.
    """
    throttled: set[str] = set()
    while True:
        choice = _choose_path_excluding(
            ctx,
            job,
            lost=lost,
            throttled=throttled,
            ran_on=ran_on,
            domain=domain,
            move_cost=move_cost,
        )
        first = choice.path[0].backend_id if choice.path else ""
        if not first or ctx.notices.may_send(first):
            return dataclasses.replace(choice, throttled=tuple(sorted(throttled)))
        ctx.limits.note_demand(first)
        throttled.add(first)


def _choose_path_excluding(
    ctx: EntryContext,
    job: Job,
    *,
    lost: Container[str],
    throttled: Container[str],
    ran_on: Collection[str],
    domain: str,
    move_cost: MoveCost | None,
) -> PathChoice:
    """Return the cheapest path that does not begin at a throttled engine."""
    engine = job.service.engine
    servers = [
        server
        for server in ctx.fleet().by_service.get(job.service.name, ())
        if server.backend_id not in throttled
        # An engine that shuts down would cut off the request at any position of a path.
        and not ctx.notices.is_leaving(server.backend_id)
    ]
    if domain:
        servers = [each for each in servers if responds(ctx, each, domain=domain)]
    if len(ran_on) >= job.route.max_attempts:
        # No attempts are left: of the first engines, keep those that had the request.
        servers = [
            server
            for server in servers
            if server.layers.first > 0 or server.backend_id in ran_on
        ]
    if engine is None or not engine.layers:
        return PathChoice(_choose_single_server(ctx, servers, lost))
    # A request that has begun is finished, so it ignores the reserve.
    reserves = {} if ran_on else class_reserves(ctx, job)
    costs = path_costs(
        engine,
        job.req.generation,
        tracker=ctx.tracker,
        entry_count=ctx.entry_count(),
        reserves=reserves,
    )
    path = choose_path(
        servers,
        engine,
        _with_move_cost(costs, move_cost),
        domain=domain or ctx.domain,
        lost=lost,
    )
    fleet = ctx.fleet()
    token_ms = sum(
        costs.token(fleet.by_id[part.backend_id], part.layers.count)
        for part in path or ()
    )
    return PathChoice(
        path,
        full=_full_engines(ctx, path or (), costs),
        event_interval_s=token_ms * engine.event_tokens / 1000.0,
        has_reserve=any(reserves.values()),
    )


def lost_engines(ctx: EntryContext, path: Sequence[Part]) -> set[str]:
    """Return the engines of a path that are gone or silent, or are avoided."""
    fleet = ctx.fleet()
    return {
        part.backend_id
        for part in path
        if part.backend_id not in fleet.by_id
        or fleet.by_id[part.backend_id].is_silent
        or ctx.tracker.is_avoided(part.backend_id)
    }


def responds(ctx: EntryContext, server: BackendServer, *, domain: str = "") -> bool:
    """Return whether an engine can take over streams.

    Args:
        ctx: Context of the entry.
        server: The engine.
        domain: If given, it must be in this failure domain.
    """
    return (
        (not domain or server.domain == domain)
        and not server.is_silent
        and not ctx.tracker.is_avoided(server.backend_id)
        and not ctx.notices.is_leaving(server.backend_id)
    )


def choose_detour(
    ctx: EntryContext,
    job: Job,
    path: Sequence[Part],
    *,
    move_cost: MoveCost | None = None,
) -> list[Part] | None:
    """Return a path that replaces the lost engines of a running generation.

    If other engines of the same failure domain hold the layers of the lost engine, only
    these prefill the request again. The reroute needs no new connection, no attempt and
    no retry of the budget.

    Args:
        ctx: Context of the entry.
        job: The request.
        path: Current path, with lost engines.
        move_cost: If given, cost to add for each replacement.

    Returns:
        The new path; None if no engine of the path is lost, its first engine is lost,
        or no other engine of the domain holds the layers.
    """
    fleet = ctx.fleet()
    lost = lost_engines(ctx, path)
    first = path[0].backend_id
    if not lost or first in lost:
        return None
    costs = path_costs(
        job.service.engine,
        job.req.generation,
        tracker=ctx.tracker,
        entry_count=ctx.entry_count(),
    )
    domain = fleet.by_id[first].domain
    near = [
        server
        for server in fleet.by_service.get(job.service.name, ())
        if responds(ctx, server, domain=domain)
    ]
    part_cost = _with_move_cost(costs, move_cost).part
    return find_detour(path, near, lost=lost, part_cost=part_cost)


def _with_move_cost(costs: PathCosts, move_cost: MoveCost | None) -> PathCosts:
    if move_cost is None:
        return costs
    return dataclasses.replace(
        costs,
        part=lambda server, layers: (
            costs.part(server, layers) + move_cost(server, layers)
        ),
    )


def overloaded_error(
    ctx: EntryContext,
    job: Job,
    reason: str,
    *,
    may_have_run: bool,
    min_wait_s: float = 0.0,
) -> WigeonscaleError:
    """Return the error for a request rejected for lack of capacity, and record it.

    Args:
        ctx: Context of the entry.
        job: The request.
        reason: The missing capacity.
        may_have_run: Whether an earlier send may have run.
        min_wait_s: Time until capacity may be free, in seconds.
    """
    return WigeonscaleError(
        ErrorKind.OVERLOADED,
        reason,
        run_state=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        retry_after=capacity_retry_after_s(ctx, job, min_wait_s=min_wait_s),
    )


def capacity_retry_after_s(
    ctx: EntryContext,
    job: Job,
    *,
    min_wait_s: float = 0.0,
    default_s: float | None = None,
) -> float:
    """Return the Retry-After of a rejection for lack of capacity, and record it.

    Call it once for each rejection.

    Args:
        ctx: Context of the entry.
        job: The request.
        min_wait_s: Time until capacity may be free, in seconds.
        default_s: Value for a service without traffic classes; None for a random one.
    """
    service = job.service.name
    has_classes = ctx.has_classes(service)
    entry_count = ctx.entry_count()
    tracker = ctx.class_demand
    demand = tracker.demand(service, ctx.domain, entry_count) if has_classes else []
    is_known = any(count.released for count in demand)
    METRICS.capacity_rejections.add(
        priority=priority_label(job.priority),
        basis="release-rate" if is_known else "default",
    )
    if not has_classes:
        if default_s is None:
            default_s = ctx.rng.uniform(*DEFAULT_RETRY_AFTER_S)
        return min_wait_s + default_s
    wait_s = min_wait_s + retry_after_s(
        job.priority,
        demand,
        ctx.rng,
        own=[count for count in tracker.report() if count.service == service],
        entries=tracker.entries_per_domain(entry_count),
    )
    tracker.note_rejected(job, wait_s)
    return wait_s


def _full_engines(
    ctx: EntryContext, path: Sequence[Part], costs: PathCosts
) -> tuple[str, ...]:
    fleet = ctx.fleet()
    return tuple(
        part.backend_id
        for part in path
        if not costs.has_capacity(fleet.by_id[part.backend_id], part.layers.count)
    )


def _choose_single_server(
    ctx: EntryContext, servers: Sequence[BackendServer], lost: Container[str]
) -> list[Part] | None:
    """Return a path of one server, for a service that does not split its model."""
    server = choose_server(
        servers,
        tracker=ctx.tracker,
        domain=ctx.domain,
        entry_count=ctx.entry_count(),
        tried=lost,
    )
    return [Part(server.backend_id, LayerRange(0, 0))] if server else None
