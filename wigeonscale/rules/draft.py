"""Mutable copy of a document that is edited section by section."""

__all__ = ["Draft"]

import bisect
import dataclasses
import hashlib

from wigeonscale.rules.document import (
    DIGEST_BITS,
    SENTINEL,
    Document,
    Section,
    Tables,
)
from wigeonscale.rules.model import Organisation
from wigeonscale.rules.persistent import MapDraft
from wigeonscale.rules.schema import Parsed, Rule

# Label distance between consecutively appended sections.
LABEL_GAP = 1 << 64
# Label distance after sections with too close labels are relabelled.
RESPACED_GAP = 1 << 20


class Draft:
    """Mutable copy of a document, which is not validated.

    Args:
        base: The document to start from; it is not modified.

    Attributes:
        tables: A :class:`MapDraft` for each field of :class:`Tables`, by field name.
        changed_names: Names of the sections added, replaced or removed.
    """

    def __init__(self, *, base: Document):
        self.tables = {
            field.name: MapDraft(base=getattr(base.tables, field.name))
            for field in dataclasses.fields(Tables)
        }
        self.changed_names: dict[str, None] = {}
        self._sections = self.tables["sections"]
        self._digest_sum = base.digest_sum

    def put(self, name: str, text: str, after: str, parsed: Parsed) -> None:
        """Insert a section, or replace and move an existing one.

        Args:
            name: Name of the section.
            text: Whole text of the section.
            after: Name of the section to place it after; ``SENTINEL`` to be the first.
            parsed: Object that the text describes.
        """
        self.changed_names[name] = None
        old = self._sections.get(name)
        if old is not None:
            self._unregister(name)
        if old is not None and old.previous == after:
            self._change(name, text=text)
        else:
            if old is not None:
                self._unlink(name)
            self._link(name, text, after)
        self._register(name, parsed)

    def remove(self, name: str) -> None:
        """Remove a section, which must exist."""
        self.changed_names[name] = None
        self._unregister(name)
        self._unlink(name)

    def freeze(self) -> Document:
        """Return the edited document without validating it."""
        tables = {name: draft.freeze() for name, draft in self.tables.items()}
        return Document(tables=Tables(**tables), digest_sum=self._digest_sum)

    # The circular list of sections.

    def _change(
        self,
        name: str,
        *,
        text: str | None = None,
        previous: str | None = None,
        following: str | None = None,
        label: int | None = None,
    ) -> None:
        # Avoids dataclasses.replace, which is slower: most of the time of parsing a
        # document is spent here.
        old = self._sections[name]
        text = old.text if text is None else text
        digest = old.digest
        if name != SENTINEL and (text != old.text or previous is not None):
            predecessor = old.previous if previous is None else previous
            digest = _section_digest(name, predecessor, text)
            self._add_digest(digest - old.digest)
        self._sections[name] = Section(
            name,
            text,
            old.previous if previous is None else previous,
            old.following if following is None else following,
            old.label if label is None else label,
            digest,
        )

    def _add_digest(self, difference: int) -> None:
        self._digest_sum = (self._digest_sum + difference) % (1 << DIGEST_BITS)

    def _link(self, name: str, text: str, after: str) -> None:
        following = self._sections[after].following
        label = self._label_between(after, following)
        digest = _section_digest(name, after, text)
        self._add_digest(digest)
        self._sections[name] = Section(name, text, after, following, label, digest)
        self._change(after, following=name)
        self._change(following, previous=name)

    def _unlink(self, name: str) -> None:
        section = self._sections[name]
        self._change(section.previous, following=section.following)
        self._change(section.following, previous=section.previous)
        self._add_digest(-section.digest)
        del self._sections[name]

    def _label_between(self, previous: str, following: str) -> int:
        low, high = self._sections[previous].label, self._sections[following].label
        if previous == SENTINEL:
            return 0 if following == SENTINEL else high - LABEL_GAP
        if following == SENTINEL:
            return low + LABEL_GAP
        if high - low < 2:
            self._respace_labels(previous)
            return self._label_between(previous, following)
        return (low + high) // 2

    def _respace_labels(self, start: str) -> None:
        """Relabel sections to make room after one; amortised over the insertions."""
        crowded = []
        low = self._sections[start].label
        name = self._sections[start].following
        while name != SENTINEL:
            if self._sections[name].label - low >= (len(crowded) + 2) * RESPACED_GAP:
                break
            crowded.append(name)
            name = self._sections[name].following
        for index, other in enumerate(crowded, start=1):
            self._relabel(other, low + index * RESPACED_GAP)

    def _relabel(self, name: str, label: int) -> None:
        rule = self._rule(name)
        if rule is not None:
            self._unindex(rule)
        self._change(name, label=label)
        if rule is not None:
            self._index(rule)

    # The tables of parsed objects.

    def _rule(self, section_name: str) -> Rule | None:
        kind, _, name = section_name.partition(" ")
        return self.tables["rules"].get(name) if kind == "rule" else None

    def _register(self, section_name: str, parsed: Parsed) -> None:
        kind, _, name = section_name.partition(" ")
        self.tables[f"{kind}s"][name] = parsed
        if isinstance(parsed, Organisation):
            for digest in parsed.key_digests:
                self._add_name("key_owners", digest, name)
        if isinstance(parsed, Rule):
            self._add_name("conditions", parsed.condition, name)
            for _, target in parsed.targets:
                self._count("uses", target, 1)
            self._index(parsed)

    def _unregister(self, section_name: str) -> None:
        kind, _, name = section_name.partition(" ")
        parsed = self.tables[f"{kind}s"][name]
        if isinstance(parsed, Organisation):
            for digest in parsed.key_digests:
                self._drop_name("key_owners", digest, name)
        if isinstance(parsed, Rule):
            self._drop_name("conditions", parsed.condition, name)
            for _, target in parsed.targets:
                self._count("uses", target, -1)
            self._unindex(parsed)
        del self.tables[f"{kind}s"][name]

    def _add_name(self, table: str, key: str, name: str) -> None:
        self.tables[table][key] = (*self.tables[table].get(key, ()), name)

    def _drop_name(self, table: str, key: str, name: str) -> None:
        names = list(self.tables[table][key])
        names.remove(name)
        self._set_or_delete(table, key, tuple(names))

    def _count(self, table: str, key: str, step: int) -> None:
        self._set_or_delete(table, key, self.tables[table].get(key, 0) + step)

    def _set_or_delete(self, table: str, key: str, value: object) -> None:
        if value:
            self.tables[table][key] = value
        else:
            del self.tables[table][key]

    def _index(self, rule: Rule) -> None:
        entry = (self._sections[f"rule {rule.name}"].label, rule)
        for key in rule.index_keys:
            entries = list(self.tables["candidates"].get(key, ()))
            bisect.insort(entries, entry, key=_label)
            self.tables["candidates"][key] = tuple(entries)
        for header in rule.index_headers:
            self._count("header_names", header, 1)

    def _unindex(self, rule: Rule) -> None:
        label = self._sections[f"rule {rule.name}"].label
        for key in rule.index_keys:
            entries = list(self.tables["candidates"][key])
            del entries[bisect.bisect_left(entries, label, key=_label)]
            self._set_or_delete("candidates", key, tuple(entries))
        for header in rule.index_headers:
            self._count("header_names", header, -1)


def _label(entry: tuple[int, Rule]) -> int:
    return entry[0]


def _section_digest(name: str, previous: str, text: str) -> int:
    hashed = hashlib.sha256()
    for part in (name, previous, text):
        data = part.encode("utf-8", "surrogatepass")
        hashed.update(b"%d:" % len(data))
        hashed.update(data)
    return int.from_bytes(hashed.digest())
