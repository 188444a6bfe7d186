"""The changes that lead from one rules document to another."""

__all__ = ["diff_documents"]

import bisect
from collections.abc import Sequence

from wigeonscale.rules.document import ENDS, Document
from wigeonscale.wire import wire_pb2


def diff_documents(old: Document, new: Document) -> list[wire_pb2.SectionChange]:
    """Return changes that :func:`patch_document` turns ``old`` into ``new`` with.

    Args:
        old: The document to start from.
        new: The document to reach.

    Returns:
        Removals, then the changed, moved and new sections in document order.

    Notes:
        Costs a look at every section. Few sections are sent: of those in both
        documents, a longest run that keeps its order stays where it is.
    """
    old_sections, new_sections = old.tables.sections, new.tables.sections
    old_names, new_names = list(old.section_names()), list(new.section_names())
    changes = [
        wire_pb2.SectionChange(name=name, removed=True)
        for name in old_names
        if name not in new_sections
    ]
    kept = _kept_in_place(old_names, new_names)
    previous = ENDS
    for name in new_names:
        text = new_sections[name].text
        if name not in kept or old_sections[name].text != text:
            change = wire_pb2.SectionChange(name=name, text=text, after=previous)
            changes.append(change)
        previous = name
    return changes


def _kept_in_place(old_names: Sequence[str], new_names: Sequence[str]) -> set[str]:
    places = {name: place for place, name in enumerate(old_names)}
    common = [name for name in new_names if name in places]
    order = [places[name] for name in common]
    return {common[place] for place in _longest_increasing(order)}


def _longest_increasing(numbers: Sequence[int]) -> list[int]:
    """Return the places of a longest increasing subsequence (patience sorting)."""
    tails: list[int] = []
    tail_places: list[int] = []
    before: list[int] = []
    for place, number in enumerate(numbers):
        pile = bisect.bisect_left(tails, number)
        before.append(tail_places[pile - 1] if pile else -1)
        tails[pile : pile + 1] = [number]
        tail_places[pile : pile + 1] = [place]
    found = []
    place = tail_places[-1] if tail_places else -1
    while place >= 0:
        found.append(place)
        place = before[place]
    return found[::-1]
