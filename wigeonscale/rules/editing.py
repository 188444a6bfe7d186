"""Creates documents from text and from changes to existing documents."""

__all__ = ["parse_document", "patch_document"]

from collections.abc import Iterable

from wigeonscale.rules.checks import cross_check
from wigeonscale.rules.diff import Edit, plan_edits
from wigeonscale.rules.document import EMPTY_DOCUMENT, SENTINEL, Document
from wigeonscale.rules.draft import Draft
from wigeonscale.rules.problems import InvalidDocument, Problem
from wigeonscale.rules.sections import SectionParts, parse_section, split_sections
from wigeonscale.wire import wire_pb2


def parse_document(text: str, *, base: Document = EMPTY_DOCUMENT) -> Document:
    r"""Parse a text into a document.

    Args:
        text: INI text with ``[organisation]``, ``[pipeline]``, ``[service]`` and
            ``[rule]`` sections; rules are evaluated in the order of the text.
        base: Document to start from; only sections that differ from it are parsed.

    Returns:
        A document whose sections are valid and consistent with each other.

    Raises:
        InvalidDocument: The text is invalid; lists all problems with section, key,
            line, value and what is allowed.

    Example:
        >>> text = "[rule none]\nwhen = always\nthen = refuse because closed\n"
        >>> doc = parse_document(text)
        >>> [rule.name for rule in doc.rules]
        ['none']
    """
    _raise_if_any(list(_text_problems(text)))
    parts_of, problems = _unique_sections(text)
    draft = Draft(base=base)
    invalid: dict[str, str] = {}
    for edit in plan_edits(base, _texts(parts_of)):
        problems += _apply_edit(draft, edit, parts_of, invalid)
    document = draft.freeze()
    lines = {name: parts.line for name, parts in parts_of.items()}
    problems += cross_check(document, draft.changed_names, lines.__getitem__, invalid)
    _raise_if_any(problems)
    return document


def _unique_sections(text: str) -> tuple[dict[str, SectionParts], list[Problem]]:
    parts_of: dict[str, SectionParts] = {}
    problems = []
    for parts in split_sections(text):
        first = parts_of.setdefault(parts.name, parts)
        if first is not parts:
            allowed = f"each section once; it stands in line {first.line} too"
            problems.append(
                Problem(parts.name, "", parts.line, f"[{parts.name}]", allowed)
            )
    return parts_of, problems


def _apply_edit(
    draft: Draft,
    edit: Edit,
    parts_of: dict[str, SectionParts],
    invalid: dict[str, str],
) -> list[Problem]:
    """Apply one edit; an invalid section is only recorded in ``invalid``."""
    if edit.text is None:
        draft.remove(edit.name)
        return []
    parsed = parse_section(parts_of[edit.name])
    if isinstance(parsed, list):
        invalid[edit.name] = edit.after
        return parsed
    after = _nearest_present(draft, invalid, edit.after)
    draft.put(edit.name, edit.text, after, parsed)
    return []


def _nearest_present(draft: Draft, invalid: dict[str, str], name: str) -> str:
    """Return the nearest section at or before ``name`` that the draft contains."""
    while name in invalid and name not in draft.tables["sections"]:
        name = invalid[name]
    return name


def _texts(parts_of: dict[str, SectionParts]) -> dict[str, str]:
    return {name: _with_final_newline(parts.text) for name, parts in parts_of.items()}


def patch_document(
    old: Document, changes: Iterable[wire_pb2.SectionChange]
) -> Document:
    """Apply changes to sections of a document.

    Args:
        old: The document to start from; it is not modified.
        changes: Changes, in the order in which they are applied.

    Returns:
        A new document that shares unchanged data with ``old``.

    Raises:
        InvalidDocument: A change cannot be applied, or the result is invalid.

    Notes:
        The time depends on the changes and only logarithmically on the size of the
        document, except that the list of rules with the same index key is copied. A
        change to a rule with ``when = always`` visits every rule.
    """
    draft = Draft(base=old)
    problems: list[Problem] = []
    for change in changes:
        problems += _apply_change(draft, change)
    document = draft.freeze()
    problems += cross_check(document, draft.changed_names, document.section_line)
    _raise_if_any(problems)
    return document


def _apply_change(draft: Draft, change: wire_pb2.SectionChange) -> list[Problem]:
    sections = draft.tables["sections"]
    if change.removed:
        if change.name == SENTINEL or change.name not in sections:
            return [Problem(change.name, "", 0, change.name, "a section that exists")]
        draft.remove(change.name)
        return []
    if change.after not in sections or change.after == change.name:
        return [Problem(change.name, "", 0, change.after, "another section to follow")]
    parts = list(split_sections(change.text))
    if [part.name for part in parts] != [change.name]:
        return [Problem(change.name, "", 0, change.text[:80], "one section's text")]
    parsed = parse_section(parts[0])
    if isinstance(parsed, list):
        return parsed
    draft.put(change.name, _with_final_newline(change.text), change.after, parsed)
    return []


def _with_final_newline(text: str) -> str:
    return text if text.endswith("\n") else text + "\n"


def _text_problems(text: str) -> Iterable[Problem]:
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        yield Problem(
            "", "", line, text[exc.start], "text that can be encoded as UTF-8"
        )
    if text.strip() and next(split_sections(text), None) is None:
        yield Problem("", "", 1, text.strip()[:80], "sections, each with a header")


def _raise_if_any(problems: list[Problem]) -> None:
    if problems:
        raise InvalidDocument(dict.fromkeys(problems))
