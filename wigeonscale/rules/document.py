"""The immutable rules document: its ordered sections and lookup tables."""

__all__ = ["EMPTY_DOCUMENT", "Document", "Section", "Tables"]

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from wigeonscale.rules.model import Organisation, Pipeline, PlainService
from wigeonscale.rules.persistent import PersistentMap
from wigeonscale.rules.schema import Rule

# Name of the sentinel of the circular list of sections: it precedes the first section
# and follows the last.
SENTINEL = ""
DIGEST_BITS = 256


@dataclass(frozen=True, slots=True)
class Section:
    """One section, a node of the circular doubly linked list of sections.

    Attributes:
        name: Name in the header.
        text: Whole text of the section.
        previous: Name of the preceding section; ``SENTINEL`` if there is none.
        following: Name of the next section; ``SENTINEL`` if there is none.
        label: Sort key that increases along the document.
        digest: SHA-256 of name, name of the preceding section and text, as an integer.
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
    """The content of a document, in mappings that share data between versions.

    Attributes:
        sections: :class:`Section` by name, the sentinel included.
        organisations: Organisation by name.
        pipelines: Pipeline by name.
        services: Plain service by name.
        rules: :class:`Rule` by name.
        key_owners: Names of the organisations that hold a key, by key digest.
        uses: Number of references by rules, by the name of the section.
        conditions: Names of the rules with equal conditions, by the condition.
        candidates: (label, rule) pairs in document order, by index key.
        header_names: Number of rules indexed by a header, by the name of the header.
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
    """A validated, immutable rules document.

    Attributes:
        tables: Content of the document.
        digest_sum: Sum of the section digests modulo 2**256, the value of ``digest``.

    Notes:
        ``organisations`` and ``digest`` take constant time. ``text`` is built on each
        access, since many versions may be in memory. ``pipelines``, ``services`` and
        ``rules`` are sorted into document order on first access and cached.
    """

    tables: Tables = field(default_factory=Tables)
    digest_sum: int = 0

    @property
    def digest(self) -> str:
        """Digest of the whole document, 64 hexadecimal digits."""
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
        """Rules in document order, which is the order of evaluation."""
        return tuple(self._ordered("rule", self.tables.rules).values())

    @property
    def text(self) -> str:
        """Text of the whole document, as written by operators."""
        sections = self.tables.sections
        return "".join(sections[name].text for name in self.section_names())

    def section_names(self) -> Iterator[str]:
        """Yield the section names in document order."""
        sections = self.tables.sections
        name = sections[SENTINEL].following
        while name != SENTINEL:
            yield name
            name = sections[name].following

    def section_line(self, name: str) -> int:
        """Return the first line of a section, from 1; takes as long as ``text``."""
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
