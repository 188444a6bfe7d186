"""Converts an entry's loads, sends and rate limits to and from heartbeat messages.

With each heartbeat an entry reports its own figures to control, and control returns
the totals over all entries.
"""

__all__ = ["apply_load_totals", "build_load_report"]

from wigeonscale.direct import EntryContext, NamedLimit
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000.0


def build_load_report(ctx: EntryContext) -> wire.Loads:
    """Return this entry's load, sends and rate limits, and record them as reported.

    Args:
        ctx: Components that the requests of the entry share.
    """
    return wire.Loads(
        loads=[
            wire.Load(backend_id=name, running=running, token_layers=int(token_layers))
            for name, (running, token_layers) in ctx.tracker.report_loads().items()
        ],
        sends=[
            wire.ServiceSends(
                service=name,
                requests=requests,
                further=further,
                wanting=int(ctx.budget.is_wanting(name)),
            )
            for name, (requests, further) in ctx.budget.report_sends().items()
        ],
        limits=[
            wire.NamedLimit(
                backend_id=limit.backend_id,
                per_s=limit.per_s,
                age_ms=None if limit.age_s is None else int(limit.age_s * MS_PER_S),
                demands=[
                    wire.Demand(entry=name, requests=requests)
                    for name, requests in limit.demands.items()
                ],
            )
            for limit in ctx.limits.report()
        ],
        tellers=1,
    )


def apply_load_totals(ctx: EntryContext, totals: wire.Loads) -> None:
    """Apply the totals over all entries, this one included.

    Args:
        ctx: Components that the requests of the entry share.
        totals: Sums of the reports of all entries.
    """
    ctx.tracker.apply_totals(
        {each.backend_id: (each.running, each.token_layers) for each in totals.loads}
    )
    ctx.budget.apply_totals(
        {each.service: (each.requests, each.further) for each in totals.sends},
        wanting={each.service: each.wanting for each in totals.sends},
        reporting_entries=totals.tellers,
    )
    limits = [
        NamedLimit(
            backend_id=each.backend_id,
            per_s=each.per_s if each.HasField("per_s") else None,
            age_s=each.age_ms / MS_PER_S if each.HasField("age_ms") else None,
            demands={demand.entry: demand.requests for demand in each.demands},
        )
        for each in totals.limits
    ]
    ctx.limits.apply_reports(limits, reporting_entries=totals.tellers)
