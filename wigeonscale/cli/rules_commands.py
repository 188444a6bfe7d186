"""``wigeonctl rules``: check, apply, show, history, rollback."""

__all__ = [
    "apply_rules",
    "check_rules",
    "roll_back_rules",
    "show_history",
    "show_rules",
]

import argparse
import datetime
from dataclasses import dataclass

from google.protobuf import json_format

from wigeonscale.cli.admin_client import AdminClient
from wigeonscale.cli.output import Output, format_table
from wigeonscale.errors import ErrorKind, SettingsError
from wigeonscale.rules import (
    Document,
    diff_documents,
    parse_document,
    shadowed_rules,
)

MAX_SECTIONS_SHOWN = 5


def check_rules(args: argparse.Namespace) -> Output:
    """Validate a rules file locally, without a replica.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    document = _read_document(args.file)
    counts = {
        "organisations": len(document.organisations),
        "pipelines": len(document.pipelines),
        "services": len(document.services),
        "rules": len(document.rules),
    }
    shown = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    warnings = _warnings(document)
    data = {"digest": document.digest, **counts, "warnings": list(warnings)}
    return Output(f"{args.file}: valid, {shown}", data, warnings)


async def apply_rules(args: argparse.Namespace, client: AdminClient) -> Output:
    """Apply a rules file unless the rules were changed since its base revision."""
    document = _read_document(args.file)
    warnings = _warnings(document)
    change = await _plan_change(document, args.base, client)
    if change.summary == []:
        data = {"revision": change.base, "changes": []}
        text = f"nothing to change: revision {change.base} is in force"
        return Output(text, data, warnings)
    # For the hint after lost responses: a repeated command needs the same base.
    args.base = change.base
    answer = await client.change(
        "/admin/rules/apply",
        {
            "base_revision": change.base,
            "operation_id": args.operation_id,
            **change.content,
            "operator": args.operator,
        },
    )
    text = f"revision {answer['revision']} accepted, made from revision {change.base}"
    lines = [text, *(f"  {line}" for line in change.summary or ())]
    data = {
        "revision": answer["revision"],
        "base_revision": change.base,
        "operation_id": args.operation_id,
        "changes": change.summary,
    }
    return Output("\n".join(lines), data, warnings)


@dataclass(frozen=True, slots=True)
class _Change:
    base: int
    content: dict[str, object]
    # One line per changed section; None if the base was given and nothing was compared.
    summary: list[str] | None


async def _plan_change(
    document: Document, base: int | None, client: AdminClient
) -> _Change:
    whole: dict[str, object] = {"document": document.text}
    if base is not None:
        return _Change(base, whole, None)
    current = await client.read("/admin/rules")
    old = parse_document(str(current["document"]))
    # Before the first revision there are no sections to change.
    content = _changed_sections(old, document) if current["revision"] else whole
    return _Change(current["revision"], content, _change_summary(old, document))


async def show_rules(args: argparse.Namespace, client: AdminClient) -> Output:
    """Show the current rules."""
    answer = await client.read("/admin/rules")
    note = f"revision {answer['revision']}, digest {answer['digest']}"
    return Output(str(answer["document"]).rstrip("\n"), answer, (note,))


async def show_history(args: argparse.Namespace, client: AdminClient) -> Output:
    """Show the revisions to which the rules can be rolled back."""
    answer = await client.read("/admin/rules/history")
    rows = [
        [
            revision["revision"],
            _utc_text(revision["wall_ms"]),
            revision["operator"] or "-",
            _sections_text(revision["sections"]),
        ]
        for revision in reversed(answer["revisions"])
    ]
    headers = ["REVISION", "ACCEPTED (UTC)", "OPERATOR", "SECTIONS"]
    return Output(format_table(headers, rows), answer)


async def roll_back_rules(args: argparse.Namespace, client: AdminClient) -> Output:
    """Apply the rules of an earlier revision as a new revision."""
    answer = await client.change(
        "/admin/rules/rollback",
        {
            "revision": args.revision,
            "operation_id": args.operation_id,
            "operator": args.operator,
        },
    )
    text = f"revision {answer['revision']} accepted, as revision {args.revision} was"
    return Output(text, {**answer, "operation_id": args.operation_id})


def _read_document(path: str) -> Document:
    try:
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as exc:
        message = f"{path}: cannot be read: {exc}"
        raise SettingsError(message, kind=ErrorKind.INVALID_DOCUMENT) from exc
    try:
        return parse_document(text)
    except SettingsError as exc:
        lines = (f"{path}: {line}" for line in exc.message.splitlines())
        raise SettingsError("\n".join(lines), kind=exc.kind) from exc


def _warnings(document: Document) -> tuple[str, ...]:
    return tuple(
        f"warning: rule {rule} never matches; rule {earlier} before it covers all cases"
        for rule, earlier in shadowed_rules(document)
    )


def _changed_sections(old: Document, new: Document) -> dict[str, object]:
    # Only the difference is sent, because documents can be long.
    changes = [
        json_format.MessageToDict(change, preserving_proto_field_name=True)
        for change in diff_documents(old, new)
    ]
    return {"changes": changes, "digest": new.digest}


def _change_summary(old: Document, new: Document) -> list[str]:
    known = old.tables.sections
    lines = []
    for change in diff_documents(old, new):
        if change.removed:
            verb = "removed"
        elif change.name not in known:
            verb = "added"
        else:
            verb = "moved" if known[change.name].text == change.text else "changed"
        lines.append(f"{verb} [{change.name}]")
    return lines


def _utc_text(wall_ms: int) -> str:
    stamp = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return stamp.strftime("%Y-%m-%d %H:%M:%S")


def _sections_text(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_SECTIONS_SHOWN])
    more = len(names) - MAX_SECTIONS_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown or "none"
