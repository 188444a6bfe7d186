"""Whether a generation may begin, and on which path."""

__all__ = ["choose_path_for"]

from collections.abc import Collection, Container, Sequence

from wigeonscale.direct.choice import (
    PathCosts,
    choose_path,
    choose_server,
    path_costs,
)
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import Job, Surroundings
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.layers import LayerRange, Part

# Word to callers when the engines are full. Answers last about two seconds, so in one
# about a third of the room becomes free.
ROOM_RETRY_S = (0.4, 1.4)


def choose_path_for(
    around: Surroundings,
    job: Job,
    *,
    lost: Container[str],
    ran_at: Collection[str],
    is_begun: bool,
) -> list[Part] | None:
    """Return the path of one send, or None when there is none.

    Args:
        around: What the flows share.
        job: The request.
        lost: Engines that must not be on it.
        ran_at: First engines of the paths that may have run it.
        is_begun: Whether the caller has part of the answer.

    Raises:
        WigeonscaleError: ``OVERLOADED``: there is a path, but no room.
    """
    engine = job.service.engine
    servers = around.fleet().by_service.get(job.service.name, ())
    if len(ran_at) >= job.route.max_attempts:
        # Of the engines that take requests in, only those that had this one before.
        servers = [
            server
            for server in servers
            if server.layers.first > 0 or server.backend_id in ran_at
        ]
    if engine is None or not engine.layers:
        return _choose_whole(around, servers, lost)
    costs = path_costs(
        engine,
        job.req.generation,
        beliefs=around.beliefs,
        entries=around.entries(),
    )
    path = choose_path(servers, engine, costs, domain=around.domain, lost=lost)
    if path is not None and not is_begun:
        _check_room(around, path, costs, may_have_run=bool(ran_at))
    return path


def _check_room(
    around: Surroundings, path: list[Part], costs: PathCosts, *, may_have_run: bool
) -> None:
    """Turn a request away whose cheapest path has an engine without room.

    Load pattern: more generations than the engines have memory for. One more would not
    wait its turn: the engines put back others in mid-stream and read them again, so
    that all get late. What is under way is therefore finished, and who comes new is
    told at once when to come back, whatever the size of the request.
    """
    fleet = around.fleet()
    full = [
        part.backend_id
        for part in path
        if not costs.has_room(fleet.by_id[part.backend_id], part.layers.count)
    ]
    if not full:
        return
    raise WigeonscaleError(
        ErrorKind.OVERLOADED,
        f"no room for one more at {', '.join(full)}",
        run_state=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        # Spread, or all that were turned away would come back in the same instant.
        retry_after=around.rng.uniform(*ROOM_RETRY_S),
    )


def _choose_whole(
    around: Surroundings, servers: Sequence[BackendServer], lost: Container[str]
) -> list[Part] | None:
    """Return a path of one server, where each serves alone."""
    server = choose_server(
        servers,
        beliefs=around.beliefs,
        domain=around.domain,
        entries=around.entries(),
        tried=lost,
    )
    return [Part(server.backend_id, LayerRange(0, 0))] if server else None
