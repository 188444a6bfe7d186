"""Whether a generation may begin, and on which path."""

__all__ = ["PathChoice", "choose_detour", "choose_path_for", "overloaded_error"]

import dataclasses
import random
from collections.abc import Collection, Container, Sequence
from dataclasses import dataclass

from wigeonscale.direct.choice import (
    PathCosts,
    choose_path,
    choose_server,
    path_costs,
)
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.layers import LayerRange, Part, find_detour

# Word to callers when the engines are full. Answers last about two seconds, so in one
# about a third of the room becomes free.
OVERLOAD_RETRY_AFTER_S = (0.4, 1.4)


@dataclass(frozen=True, slots=True)
class PathChoice:
    """The cheapest path of one send.

    Attributes:
        path: Its parts; None when no path is whole.
        full: Engines of it that lack room for one more request of usual size.
        held: First engines of better paths that want no request now.
        event_s: Time between events to be expected on it; 0 where none is known.
    """

    path: list[Part] | None
    full: tuple[str, ...] = ()
    throttled: tuple[str, ...] = ()
    event_interval_s: float = 0.0


def choose_path_for(
    ctx: EntryContext,
    job: Job,
    *,
    lost: Container[str],
    ran_on: Collection[str],
) -> PathChoice:
    """Return the path of one send.

    Load pattern: more generations than the engines have memory for. One more would not
    wait its turn: the engines put back others in mid-stream and read them again, so
    that all get late. What is under way is therefore finished, and who comes new waits
    a moment or is told when to come back, whatever the size of the request.

    First engines that want no request now are passed over, and counted as wanted: what
    they take is shared by demand.

    Args:
        ctx: What the flows share.
        job: The request.
        lost: Engines that must not be on it.
        ran_on: First engines of the paths that may have run it.
    """
    throttled: set[str] = set()
    while True:
        choice = _choose_path_excluding(
            ctx, job, lost=lost, throttled=throttled, ran_on=ran_on
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
) -> PathChoice:
    """Return the cheapest path that begins at none of the engines that hold back."""
    engine = job.service.engine
    servers = [
        server
        for server in ctx.fleet().by_service.get(job.service.name, ())
        if server.backend_id not in throttled
        # It ends under what it gets from now on, wherever it stands on a path.
        and not ctx.notices.is_leaving(server.backend_id)
    ]
    if len(ran_on) >= job.route.max_attempts:
        # Of the engines that take requests in, only those that had this one before.
        servers = [
            server
            for server in servers
            if server.layers.first > 0 or server.backend_id in ran_on
        ]
    if engine is None or not engine.layers:
        return PathChoice(_choose_single_server(ctx, servers, lost))
    costs = path_costs(
        engine,
        job.req.generation,
        tracker=ctx.tracker,
        entries=ctx.entries(),
    )
    path = choose_path(servers, engine, costs, domain=ctx.domain, lost=lost)
    fleet = ctx.fleet()
    token_ms = sum(
        costs.token(fleet.by_id[part.backend_id], part.layers.count)
        for part in path or ()
    )
    return PathChoice(
        path,
        full=_full_engines(ctx, path or (), costs),
        event_interval_s=token_ms * engine.event_tokens / 1000.0,
    )


def choose_detour(
    ctx: EntryContext, job: Job, path: Sequence[Part]
) -> list[Part] | None:
    """Return the path on which a run goes on without its lost engines.

    Load pattern: an engine is lost under many streams. Where others of its failure
    domain hold its layers, only these read the requests again, and no connection, no
    attempt and no share of the retry budget is spent.

    Args:
        ctx: What the flows share.
        job: The request.
        path: The path with engines that are lost.

    Returns:
        The path, or None: its first engine is lost, or nobody near holds the layers.
    """
    fleet = ctx.fleet()
    lost = {
        part.backend_id
        for part in path
        if part.backend_id not in fleet.by_id
        or fleet.by_id[part.backend_id].is_silent
        or ctx.tracker.is_avoided(part.backend_id)
    }
    first = path[0].backend_id
    if not lost or first in lost:
        return None
    costs = path_costs(
        job.service.engine,
        job.req.generation,
        tracker=ctx.tracker,
        entries=ctx.entries(),
    )
    domain = fleet.by_id[first].domain
    near = [
        server
        for server in fleet.by_service.get(job.service.name, ())
        if server.domain == domain
        and not server.is_silent
        and not ctx.tracker.is_avoided(server.backend_id)
        and not ctx.notices.is_leaving(server.backend_id)
    ]
    return find_detour(path, near, lost=lost, part_cost=costs.part)


def overloaded_error(
    reason: str,
    *,
    may_have_run: bool,
    rng: random.Random,
    min_wait_s: float = 0.0,
) -> WigeonscaleError:
    """Return the answer of a request that gets no room.

    Args:
        reason: What it lacked.
        may_have_run: Whether an earlier send of it may have run.
        rng: Spreads the returns, or all would come back in the same instant.
        min_wait_s: Time before which no room is to be had, in seconds.
    """
    return WigeonscaleError(
        ErrorKind.OVERLOADED,
        reason,
        run_state=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        retry_after=min_wait_s + rng.uniform(*OVERLOAD_RETRY_AFTER_S),
    )


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
    """Return a path of one server, where each serves alone."""
    server = choose_server(
        servers,
        tracker=ctx.tracker,
        domain=ctx.domain,
        entries=ctx.entries(),
        tried=lost,
    )
    return [Part(server.backend_id, LayerRange(0, 0))] if server else None
