"""Choice of the ways by which the streams of a lost engine resume.

For services with traffic classes only. Each stream draws its way from shares that all
entries compute alike; see :mod:`wigeonscale.direct.recovery`. Nothing here waits: the
next event of a stream is due 0.1 to 0.2 s after its engine is known to be lost.
"""

__all__ = [
    "draw_next_send",
    "move_cost",
    "note_resumed",
    "recovery_path",
    "takes_detour",
]

from collections.abc import Callable, Collection, Sequence

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.admission import MoveCost, PathChoice, choose_path_for
from wigeonscale.direct.crashing import backends_with_other_suspects
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.progress import MAX_SENDS, Progress
from wigeonscale.direct.recovery import RecoveryWay, draw_way
from wigeonscale.direct.recovery_plans import RecoveryPlan
from wigeonscale.direct.recovery_ways import make_plan, prefill_s
from wigeonscale.layers import Part

# Entries that choose among equal engines in the same instant would all take the same
# one. A random part of the cost, below that of one stream, spreads them.
MAX_JITTER_STREAMS = 0.5


def takes_detour(
    ctx: EntryContext,
    job: Job,
    progress: Progress,
    path: Sequence[Part],
    detour: Sequence[Part],
) -> bool:
    """Return whether a running stream takes its detour instead of a new send.

    If not, the failure domain of the next send is recorded, and a retry is taken from
    the budget for it. A stream for which the budget has no retry takes the detour, and
    so does one that is suspected of crashing engines.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress; updated.
        path: Its path, with lost engines.
        detour: The path that replaces them.
    """
    if not ctx.has_classes(job.service.name):
        return True
    if progress.holds_retry(ctx.clock.now()):
        return False  # drawn before; its wait for events is being aborted
    if ctx.crashes.is_suspect(job.fingerprint):
        # It may have crashed the lost engine, and must not spread to other domains.
        return True
    kept = {part.backend_id for part in detour}
    lost = frozenset(part.backend_id for part in path) - kept
    plan = _plan(ctx, job, path, lost, detour)
    way = _draw(ctx, plan, plan.shares)
    if (
        way is not None
        and not way.is_detour
        and _may_send_to(ctx, job, progress, path[0].backend_id, way.domain)
        and ctx.budget.try_spend(job.service.name, is_begun=True)
    ):
        progress.hold_retry(ctx.clock.now())
        progress.left_domain, progress.next_domain = plan.domain, way.domain
        return False
    old = {part.backend_id for part in path}
    ctx.recovery.note_moved(kept - old, now=ctx.clock.now())
    return True


def draw_next_send(
    ctx: EntryContext,
    job: Job,
    progress: Progress,
    path: Sequence[Part],
    lost: Collection[str],
) -> None:
    """Draw the failure domain of the next send of a stream that takes no detour.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress; updated.
        path: Its path, with lost engines.
        lost: Names of the lost engines. Nothing is drawn if there are none.
    """
    progress.left_domain = progress.next_domain = ""
    if not lost or not ctx.has_classes(job.service.name) or not _is_split(job):
        return
    if not job.route.is_idempotent:
        return  # it may have run and is never sent again
    plan = _plan(ctx, job, path, frozenset(lost), None)
    way = _draw(ctx, plan, plan.send_shares)
    progress.left_domain = plan.domain
    progress.next_domain = way.domain if way is not None else ""


def recovery_path(
    ctx: EntryContext,
    job: Job,
    progress: Progress,
    *,
    otherwise: Callable[[], PathChoice],
) -> PathChoice:
    """Return the path of the next send of a request that must be finished.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress. A failure domain that was drawn for the next send is
            used if a path of engines with room begins and ends there.
        otherwise: Returns the path if no domain was drawn, or it has no such path.
    """
    choice = None
    if progress.next_domain and not backends_with_other_suspects(ctx, job):
        choice = choose_path_for(
            ctx,
            job,
            lost=progress.lost,
            ran_on=progress.ran_on,
            domain=progress.next_domain,
            move_cost=move_cost(ctx, job),
        )
    if choice is None or choice.path is None or choice.full:
        choice = otherwise()
    return choice


def note_resumed(ctx: EntryContext, progress: Progress, path: Sequence[Part]) -> None:
    """Record the path by which a request that must be finished is sent again.

    Args:
        ctx: Context of the entry.
        progress: Its progress; updated.
        path: Its path.
    """
    if not progress.left_domain:
        return
    names = [part.backend_id for part in path]
    ctx.recovery.note_moved(names, now=ctx.clock.now())
    first = ctx.fleet().by_id[names[0]]
    is_same = first.domain == progress.left_domain
    METRICS.recovered_streams.add(way="same-domain" if is_same else "other-domain")
    progress.left_domain = progress.next_domain = ""


def move_cost(ctx: EntryContext, job: Job) -> MoveCost | None:
    """Return the cost of moving a stream to an engine, by its number of layers.

    It is the time in milliseconds that the engine needs to prefill the streams which
    this entry has recently moved to it, so of similar engines the one with the fewest
    such streams is chosen.

    Args:
        ctx: Context of the entry.
        job: The request.

    Returns:
        None for a service without traffic classes.
    """
    if not ctx.has_classes(job.service.name) or not _is_split(job):
        return None
    engine = job.service.engine
    now = ctx.clock.now()
    cache: dict[str, float] = {}

    def cost(server: BackendServer, layers: int) -> float:
        # Cached: one search asks for each range of layers of an engine.
        layer_ms = cache.get(server.backend_id)
        if layer_ms is None:
            streams = ctx.recovery.moving_to(server.backend_id, now=now)
            streams += MAX_JITTER_STREAMS * ctx.rng.random()
            layer_ms = 1000.0 * streams * prefill_s(engine, server, 1)
            cache[server.backend_id] = layer_ms
        return layer_ms * layers

    return cost


def _is_split(job: Job) -> bool:
    return job.service.engine is not None and job.service.engine.layers > 0


def _draw(
    ctx: EntryContext, plan: RecoveryPlan, shares: Sequence[float]
) -> RecoveryWay | None:
    return draw_way(plan.ways, shares, ctx.rng) if any(shares) else None


def _may_send_to(
    ctx: EntryContext, job: Job, progress: Progress, first: str, domain: str
) -> bool:
    """Return whether a running request may be sent again to a failure domain."""
    if not job.route.is_idempotent or progress.sends >= MAX_SENDS:
        return False
    if ctx.clock.now() >= job.deadline_at:
        return False
    ran_on = progress.ran_on | {first}
    if len(ran_on) < job.route.max_attempts:
        return True
    # No attempts are left, so the path must begin where the request has run.
    servers = [ctx.fleet().by_id.get(name) for name in ran_on]
    return any(server is not None and server.domain == domain for server in servers)


def _plan(
    ctx: EntryContext,
    job: Job,
    path: Sequence[Part],
    lost: frozenset[str],
    detour: Sequence[Part] | None,
) -> RecoveryPlan:
    """Return the plan of a loss; it is computed for the first stream that asks."""
    return ctx.recovery.plan(
        job.service.name,
        lost,
        has_detour=detour is not None,
        now=ctx.clock.now(),
        make=lambda: make_plan(ctx, job, path, lost, detour),
    )
