"""``wigeonctl report burn``: use of the error budgets over all entries."""

__all__ = ["report_burn"]

import argparse
import dataclasses

from wigeonscale.cli.admin_client import AdminClient
from wigeonscale.cli.output import Output, format_table
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.reports import BURN_PATH, BurnReport, BurnRow, draw_burn, merge_exports

S_PER_MIN = 60


async def report_burn(args: argparse.Namespace, client: AdminClient) -> Output:
    """Collect and merge the event counts of all entries known to the replicas.

    Raises:
        WigeonscaleError: No replica or no entry responded, or the picture cannot be
            written.
    """
    pages, missing = await client.read_each(client.addresses, "/admin/status")
    exports, unreachable = await client.read_each(_entry_addresses(pages), BURN_PATH)
    missing |= unreachable
    if not exports:
        reason = "; ".join(missing.values()) or "the replicas know of no entry"
        raise WigeonscaleError(ErrorKind.NO_QUORUM, f"no burn counts: {reason}")
    report = merge_exports(exports.values())
    if args.picture:
        _draw(report, args.picture)
    data = {
        **dataclasses.asdict(report),
        "entries": len(exports),
        "missing": missing,
    }
    notes = tuple(f"partial: {message}" for message in missing.values())
    return Output(_text(report, len(exports)), data, notes)


def _entry_addresses(pages: dict[str, dict]) -> list[str]:
    watchers = [watcher for page in pages.values() for watcher in page["watchers"]]
    entries = {
        watcher["http_address"]
        for watcher in watchers
        if watcher["role"] == "entry" and watcher["http_address"]
    }
    return sorted(entries)


def _draw(report: BurnReport, path: str) -> None:
    try:
        draw_burn(report, path)
    except (OSError, ValueError) as exc:
        message = f"picture {path!r} cannot be written: {exc}"
        raise WigeonscaleError(ErrorKind.BAD_REQUEST, message) from exc


def _text(report: BurnReport, entries: int) -> str:
    lines = [
        f"share of each error budget used, over {entries} entries; 1.00: all of it"
    ]
    if report.dropped:
        lines.append(
            f"{report.dropped} organisations were dropped at the limit and are missing"
        )
    rows = [_row(row) for row in report.rows]
    lines.append(format_table(_headers(report), rows))
    for name, times in report.percentiles.items():
        shown = ", ".join(
            f"p{at:g} {time_s * 1000:.1f} ms" for at, time_s in times.items()
        )
        lines.append(f"{name} since the entries' start: {shown}")
    return "\n".join(lines)


def _headers(report: BurnReport) -> list[str]:
    headers = ["ORGANISATION", "OBJECTIVE", "TARGET"]
    for name, length_s in report.windows.items():
        minutes = length_s // S_PER_MIN
        headers += [f"{minutes} MIN: EVENTS", "BAD", f"BURN ({name})"]
    return headers


def _row(row: BurnRow) -> list[object]:
    target = _target_text(row.objective.target, row.objective.threshold_s)
    cells: list[object] = [row.organisation, row.objective.name, target]
    for window in row.windows.values():
        cells += [window.events, window.bad, window.burn]
    return cells


def _target_text(target: float, threshold_s: float) -> str:
    within = f" in {threshold_s * 1000:g} ms" if threshold_s else ""
    return f"{target * 100:g} %{within}"
