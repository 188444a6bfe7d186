"""Converts an entry's loads, sends, limits and demand to and from heartbeat messages.

With each heartbeat an entry reports its own figures to control, and control returns
the totals over all entries.
"""

__all__ = ["apply_load_totals", "build_load_report"]

import dataclasses

from wigeonscale.direct import EntryContext, NamedLimit
from wigeonscale.limits import NEW_REPORT, ClassCount
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000.0
# Counts of a class; the message and the data class have the same names.
CLASS_FIELDS = tuple(each.name for each in dataclasses.fields(ClassCount))


def build_load_report(ctx: EntryContext) -> wire.Loads:
    """Return this entry's figures for control, and record them as reported.

    Args:
        ctx: Components that the requests of the entry share.
    """
    return wire.Loads(
        loads=[
            wire.Load(backend_id=name, running=running, token_layers=int(token_layers))
            for name, (running, token_layers) in ctx.tracker.report_loads().items()
        ],
        sends=[
            wire.ServiceSends(service=name, requests=requests, further=further)
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
        report_ages=NEW_REPORT,
        classes=[
            wire.ClassDemand(**{name: getattr(count, name) for name in CLASS_FIELDS})
            for count in ctx.class_demand.report()
        ],
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
        report_ages=tuple(totals.report_ages),
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
    ctx.class_demand.apply_totals(
        ClassCount(**{name: getattr(each, name) for name in CLASS_FIELDS})
        for each in totals.classes
    )
