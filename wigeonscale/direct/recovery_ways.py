"""Ways by which the streams of a lost engine can resume, and their shares."""

__all__ = ["make_plan", "prefill_s"]

import dataclasses
import logging
import math
from collections.abc import Collection, Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.admission import responds
from wigeonscale.direct.choice import (
    FULL_SHARE,
    PathCosts,
    choose_path,
    kv_cache_capacity,
    path_costs,
)
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.recovery import RecoveryWay, recovery_shares
from wigeonscale.direct.recovery_plans import RecoveryPlan
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import EngineProfile

# Engines interleave prefill with the decoding of other requests, which about doubles
# the time of a prefill.
INTERLEAVE_FACTOR = 2.0
# Share of the answer that an interrupted stream has on average; it is prefilled again
# together with the prompt.
MEAN_ANSWER_SHARE = 0.5

logger = logging.getLogger(__name__)


def make_plan(
    ctx: EntryContext,
    job: Job,
    path: Sequence[Part],
    lost: frozenset[str],
    detour: Sequence[Part] | None,
) -> RecoveryPlan:
    """Return the plan for the streams of a loss, and log it.

    Args:
        ctx: Context of the entry.
        job: One of its requests.
        path: The path of that request.
        lost: Names of the lost engines of the path.
        detour: The path that replaces them; None if there is none.

    Notes:
        One path search per failure domain.
    """
    engine = job.service.engine
    entry_count = ctx.entry_count()
    streams = max(ctx.tracker.load_of(name, entry_count)[0] for name in lost)
    # With mean sizes, all entries compute the same shares.
    costs = path_costs(
        engine,
        GenerationSize(
            prompt_tokens=round(engine.usual_prompt),
            max_tokens=round(engine.usual_answer),
            expected_tokens=round(engine.usual_answer),
        ),
        tracker=ctx.tracker,
        entry_count=entry_count,
    )
    domain = _domain_of(ctx, path)
    ways = []
    old = {part.backend_id for part in path}
    replacements = [part for part in detour or () if part.backend_id not in old]
    if detour is not None:
        way = _way(ctx, engine, costs, detour, replacements, domain, domain)
        ways.append(dataclasses.replace(way, is_detour=True))
    # A new send through the replacements would compete with the detour.
    excluded = lost | {part.backend_id for part in replacements}
    servers = ctx.fleet().by_service.get(job.service.name, ())
    for start in sorted({server.domain for server in servers}):
        usable = [each for each in servers if responds(ctx, each, domain=start)]
        found = choose_path(usable, engine, costs, domain=start, lost=excluded)
        if found is not None:
            ways.append(_way(ctx, engine, costs, found, found, domain, start))
    shares = recovery_shares(ways, streams)
    sends = [way for way in ways if not way.is_detour]
    send_shares = recovery_shares(sends, streams)
    _log_plan(job, lost, streams, ways, shares)
    return RecoveryPlan(
        made_at=ctx.clock.now(),
        domain=domain,
        ways=tuple(ways),
        shares=shares,
        send_shares=(0.0,) * (len(ways) - len(sends)) + send_shares,
        has_detour=detour is not None,
    )


def _way(
    ctx: EntryContext,
    engine: EngineProfile,
    costs: PathCosts,
    path: Sequence[Part],
    prefilled: Sequence[Part],
    left_domain: str,
    domain: str,
) -> RecoveryWay:
    """Return the way over a path, some parts of which prefill the streams again."""
    by_id = ctx.fleet().by_id
    event_ms = engine.event_tokens * sum(
        costs.token(by_id[part.backend_id], part.layers.count) for part in path
    )
    delay_ms = 2 * engine.delay_ms(left_domain, domain)
    parts_s = [
        prefill_s(engine, by_id[part.backend_id], part.layers.count)
        for part in prefilled
    ]
    return RecoveryWay(
        domain=domain,
        ready_s=sum(parts_s) + (event_ms + delay_ms) / 1000.0,
        per_stream_s=max(parts_s),
        room=min(_room(ctx, engine, by_id[p.backend_id], p) for p in prefilled),
    )


def prefill_s(engine: EngineProfile, server: BackendServer, layers: int) -> float:
    """Return the time to prefill an interrupted stream of mean size, in seconds.

    Args:
        engine: Engine profile of the service.
        server: The engine that prefills it.
        layers: Number of its layers that do.
    """
    kind = engine.accelerators.get(server.accelerator)
    if kind is None:
        return 0.0
    tokens = engine.usual_prompt + MEAN_ANSWER_SHARE * engine.usual_answer
    full_s = server.slowness * kind.read_factor * tokens / engine.read_tokens_per_s
    return INTERLEAVE_FACTOR * full_s * layers / engine.layers


def _room(
    ctx: EntryContext, engine: EngineProfile, server: BackendServer, part: Part
) -> float:
    """Return the number of streams of mean size for which an engine has capacity."""
    kind = engine.accelerators.get(server.accelerator)
    if kind is None:
        return 0.0
    running, used = ctx.tracker.load_of(server.backend_id, ctx.entry_count())
    free = FULL_SHARE * kv_cache_capacity(engine, server, kind.size_mb) - used
    per_stream = (engine.usual_prompt + engine.usual_answer) * part.layers.count
    room = free / per_stream if per_stream else math.inf
    if part.layers.first == 0 and engine.slots:
        room = min(room, engine.slots - running)
    return max(0.0, float(math.floor(room)) if math.isfinite(room) else room)


def _domain_of(ctx: EntryContext, path: Sequence[Part]) -> str:
    """Return the failure domain of a path, some engines of which may be gone."""
    for part in path:
        server = ctx.fleet().find(part.backend_id)
        if server is not None:
            return server.domain
    return ctx.domain


def _log_plan(
    job: Job,
    lost: Collection[str],
    streams: float,
    ways: Sequence[RecoveryWay],
    shares: Sequence[float],
) -> None:
    logger.info(
        "recovery shares of a lost engine",
        extra=log_fields(
            service=job.service.name,
            lost=",".join(sorted(lost)),
            streams=streams,
            ways=[
                {
                    "way": "detour" if way.is_detour else way.domain,
                    "ready_s": round(way.ready_s, 3),
                    "per_stream_s": round(way.per_stream_s, 3),
                    "room": way.room if math.isfinite(way.room) else None,
                    "share": round(share, 3),
                }
                for way, share in zip(ways, shares, strict=True)
            ],
        ),
    )
