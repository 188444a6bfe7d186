"""Capacity that a new request leaves free for more urgent classes, by domain."""

__all__ = ["class_reserves", "is_class_below_floor"]

import functools

from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.limits import is_below_floor


def class_reserves(ctx: EntryContext, job: Job) -> dict[str, float]:
    """Return the share of capacity that a new request leaves free, by failure domain.

    Args:
        ctx: Context of the entry.
        job: The request.

    Returns:
        Shares by failure domain; empty for a service without traffic classes.

    Notes:
        A look-up for each failure domain, and linear in the engines of the service
        after new totals of a service that is short of capacity.
    """
    service = job.service.name
    if not ctx.has_classes(service):
        return {}
    servers = ctx.fleet().by_service.get(service, ())
    entry_count = ctx.entry_count()
    running: dict[str, float] = {}

    def running_in(domain: str) -> float:
        if not running:
            # Each generation passes through one engine that holds layer 0.
            for server in servers:
                if server.layers.first == 0 and server.layers.count:
                    load = ctx.tracker.load_of(server.backend_id, entry_count)[0]
                    running[server.domain] = running.get(server.domain, 0.0) + load
        return running.get(domain, 0.0)

    return {
        domain: ctx.class_demand.reserve(
            service,
            domain,
            job.priority,
            entry_count=entry_count,
            running=functools.partial(running_in, domain),
        )
        for domain in {server.domain for server in servers}
    }


def is_class_below_floor(ctx: EntryContext, job: Job) -> bool:
    """Return whether too few generations of the class of a request are admitted."""
    service = job.service.name
    return ctx.has_classes(service) and is_below_floor(
        job.priority, ctx.class_demand.demand(service, ctx.domain, ctx.entry_count())
    )
