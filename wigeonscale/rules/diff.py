"""Computes the changes that turn one rules document into another."""

__all__ = ["Edit", "diff_documents", "plan_edits"]

import bisect
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.rules.document import SENTINEL, Document
from wigeonscale.wire import wire_pb2


@dataclass(frozen=True, slots=True)
class Edit:
    """One change to a section of a document.

    Attributes:
        name: Name of the section.
        text: Whole text of the section; None to remove it.
        after: Name of the section to place it after; ``SENTINEL`` to be the first.
    """

    name: str
    text: str | None
    after: str = SENTINEL


def plan_edits(old: Document, texts: Mapping[str, str]) -> Iterator[Edit]:
    """Yield the edits that turn a document into the given sections.

    Args:
        old: The document to start from.
        texts: Text of each section by name, in the target order.

    Notes:
        Removals come first, then changed, moved and new sections in order. Of the
        sections in both documents, a longest run in unchanged order is not moved.
    """
    sections = old.tables.sections
    old_names = list(old.section_names())
    for name in old_names:
        if name not in texts:
            yield Edit(name, None)
    kept = _unmoved_names(old_names, list(texts))
    previous = SENTINEL
    for name, text in texts.items():
        if name not in kept or sections[name].text != text:
            yield Edit(name, text, previous)
        previous = name


def diff_documents(old: Document, new: Document) -> list[wire_pb2.SectionChange]:
    """Return changes with which :func:`patch_document` turns ``old`` into ``new``.

    Args:
        old: The document to start from.
        new: The target document.

    Notes:
        Compares every section, but returns only sections that differ.
    """
    sections = new.tables.sections
    texts = {name: sections[name].text for name in new.section_names()}
    return [
        wire_pb2.SectionChange(
            name=edit.name,
            removed=edit.text is None,
            text=edit.text or "",
            after=edit.after,
        )
        for edit in plan_edits(old, texts)
    ]


def _unmoved_names(old_names: Sequence[str], new_names: Sequence[str]) -> set[str]:
    positions = {name: index for index, name in enumerate(old_names)}
    common = [name for name in new_names if name in positions]
    order = [positions[name] for name in common]
    return {common[index] for index in _longest_increasing(order)}


def _longest_increasing(numbers: Sequence[int]) -> list[int]:
    """Return the indices of a longest increasing subsequence (patience sorting)."""
    tails: list[int] = []
    tail_indices: list[int] = []
    predecessors: list[int] = []
    for index, number in enumerate(numbers):
        pile = bisect.bisect_left(tails, number)
        predecessors.append(tail_indices[pile - 1] if pile else -1)
        tails[pile : pile + 1] = [number]
        tail_indices[pile : pile + 1] = [index]
    found = []
    index = tail_indices[-1] if tail_indices else -1
    while index >= 0:
        found.append(index)
        index = predecessors[index]
    return found[::-1]
