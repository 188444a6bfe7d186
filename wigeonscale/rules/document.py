"""The rules document: its sections in order, and the tables made from them."""

__all__ = ["EMPTY_DOCUMENT", "Document", "Section", "Tables"]

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from wigeonscale.rules.model import Organisation, Pipeline, PlainService
from wigeonscale.rules.persistent import PersistentMap
from wigeonscale.rules.schema import Rule

# Name of the ring's sentinel: before the first section and after the last.
SENTINEL = ""
DIGEST_BITS = 256


@dataclass(frozen=True, slots=True)
class Section:
    """One section as a link of the document's ring.

    Attributes:
        name: Name in the header.
        text: Whole text of the section.
        previous: Name of the section before; ``ENDS`` for none.
        following: Name of the section after; ``ENDS`` for none.
        label: Number that grows along the document.
        digest: SHA-256 of name, place and text, as a number.
    """

    name: str
    text: str
    previous: str = SENTINEL
    following: str = SENTINEL
    label: int = 0
    digest: int = 0


def _empty_map() -> PersistentMap:
    return PersistentMap()


def _empty_section_list() -> PersistentMap:
    return PersistentMap(entries={SENTINEL: Section(name=SENTINEL, text="")})


@dataclass(frozen=True, slots=True, kw_only=True)
class Tables:
    """Everything a document holds, in mappings that versions share.

    Attributes:
        sections: :class:`Section` by name, the sentinel included.
        organisations: Organisation by name.
        pipelines: Pipeline by name.
        services: Plain service by name.
        rules: :class:`Rule` by name.
        key_owners: Names of the organisations that hold a key, by key digest.
        uses: Number of rules that name a section, by the section's name.
        conditions: Names of the rules with a condition, by the condition.
        candidates: (label, rule) in order, by index key.
        header_names: Number of rules indexed by a header, by its name.
    """

    sections: PersistentMap = field(default_factory=_empty_section_list)
    organisations: PersistentMap = field(default_factory=_empty_map)
    pipelines: PersistentMap = field(default_factory=_empty_map)
    services: PersistentMap = field(default_factory=_empty_map)
    rules: PersistentMap = field(default_factory=_empty_map)
    key_owners: PersistentMap = field(default_factory=_empty_map)
    uses: PersistentMap = field(default_factory=_empty_map)
    conditions: PersistentMap = field(default_factory=_empty_map)
    candidates: PersistentMap = field(default_factory=_empty_map)
    header_names: PersistentMap = field(default_factory=_empty_map)


@dataclass(frozen=True, kw_only=True)
class Document:
    """An accepted rules document; immutable.

    Attributes:
        tables: What the document holds.
        digest_sum: Sum of the sections' digests, from which ``digest`` is made.

    Notes:
        ``organisations`` and ``digest`` cost nothing; ``text`` is put together at
        each use, since many versions may be held; ``pipelines``, ``services`` and
        ``rules`` are put in document order on first use and kept.
    """

    tables: Tables = field(default_factory=Tables)
    digest_sum: int = 0

    @property
    def digest(self) -> str:
        """Digest of the whole document, as 64 hex digits."""
        return f"{self.digest_sum:0{DIGEST_BITS // 4}x}"

    @property
    def organisations(self) -> Mapping[str, Organisation]:
        """Organisations by name, in no particular order."""
        return self.tables.organisations

    @functools.cached_property
    def pipelines(self) -> dict[str, Pipeline]:
        """Pipelines by name, in document order."""
        return self._ordered("pipeline", self.tables.pipelines)

    @functools.cached_property
    def services(self) -> dict[str, PlainService]:
        """Plain services by name, in document order."""
        return self._ordered("service", self.tables.services)

    @functools.cached_property
    def rules(self) -> tuple[Rule, ...]:
        """Rules in the order in which they are tried."""
        return tuple(self._ordered("rule", self.tables.rules).values())

    @property
    def text(self) -> str:
        """The document as operators write it."""
        sections = self.tables.sections
        return "".join(sections[name].text for name in self.section_names())

    def section_names(self) -> Iterator[str]:
        """Yield the names of the sections in order."""
        sections = self.tables.sections
        name = sections[SENTINEL].following
        while name != SENTINEL:
            yield name
            name = sections[name].following

    def section_line(self, name: str) -> int:
        """Return the line at which a section begins; costs as much as ``text``."""
        line = 1
        for other in self.section_names():
            if other == name:
                break
            line += self.tables.sections[other].text.count("\n")
        return line

    def _ordered(self, kind: str, objects: Mapping) -> dict:
        sections = self.tables.sections
        names = sorted(objects, key=lambda name: sections[f"{kind} {name}"].label)
        return {name: objects[name] for name in names}


EMPTY_DOCUMENT = Document()
