"""Makes one document from another, section by section, and checks the result."""

__all__ = ["Draft", "parse_document", "patch_document"]

import bisect
import dataclasses
import hashlib
from collections.abc import Container, Iterable

from wigeonscale.rules.checks import cross_check
from wigeonscale.rules.document import (
    DIGEST_BITS,
    EMPTY_DOCUMENT,
    ENDS,
    Document,
    Section,
    Tables,
)
from wigeonscale.rules.model import Organisation
from wigeonscale.rules.persistent import MapDraft
from wigeonscale.rules.problems import InvalidDocument, Problem
from wigeonscale.rules.sections import (
    Rule,
    SectionParts,
    parse_section,
    split_sections,
)
from wigeonscale.wire import wire_pb2

# Distance of the labels of two sections that are appended one after the other.
LABEL_GAP = 1 << 64
# Distance that labels get when a crowded stretch is spread out again.
SPREAD_GAP = 1 << 20


class Draft:
    """A document being changed.

    Args:
        base: The document to start from; it stays as it is.

    Attributes:
        tables: A :class:`MapDraft` for each field of :class:`Tables`, by name.
        touched: Names of the sections put or removed.
    """

    def __init__(self, *, base: Document):
        self.tables = {
            field.name: MapDraft(base=getattr(base.tables, field.name))
            for field in dataclasses.fields(Tables)
        }
        self.touched: dict[str, None] = {}
        self._sections = self.tables["sections"]
        self._digest_sum = base.digest_sum

    def put(self, name: str, text: str, after: str, parsed: object) -> None:
        """Insert a section, or replace and move it.

        Args:
            name: Name of the section.
            text: Whole text of the section.
            after: Name of the section it follows; ``ENDS`` to be the first.
            parsed: What the text describes.
        """
        self.touched[name] = None
        old = self._sections.get(name)
        if old is not None:
            self._unregister(name)
        if old is None or old.previous != after:
            if old is not None:
                self._unlink(name)
            self._link(name, after)
        self._change(name, text=text)
        self._register(name, parsed)

    def remove(self, name: str) -> None:
        """Remove a section that exists."""
        self.touched[name] = None
        self._unregister(name)
        self._unlink(name)

    def freeze(self) -> Document:
        """Return the changed document, unchecked."""
        tables = {name: draft.freeze() for name, draft in self.tables.items()}
        return Document(tables=Tables(**tables), digest_sum=self._digest_sum)

    # The ring of sections.

    def _change(self, name: str, **changes: object) -> None:
        section = dataclasses.replace(self._sections[name], **changes)
        if name != ENDS and changes.keys() & {"text", "previous"}:
            digest = _section_digest(section)
            self._add_digest(digest - section.digest)
            section = dataclasses.replace(section, digest=digest)
        self._sections[name] = section

    def _add_digest(self, difference: int) -> None:
        self._digest_sum = (self._digest_sum + difference) % (1 << DIGEST_BITS)

    def _link(self, name: str, after: str) -> None:
        following = self._sections[after].following
        label = self._label_between(after, following)
        self._sections[name] = Section(
            name=name, text="", following=following, label=label
        )
        self._change(name, previous=after)
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
        if previous == ENDS:
            return 0 if following == ENDS else high - LABEL_GAP
        if following == ENDS:
            return low + LABEL_GAP
        if high - low < 2:
            self._spread(previous)
            return self._label_between(previous, following)
        return (low + high) // 2

    def _spread(self, start: str) -> None:
        """Make room after a section; cost is amortised over the puts that used it."""
        crowded = []
        low = self._sections[start].label
        name = self._sections[start].following
        while name != ENDS:
            if self._sections[name].label - low >= (len(crowded) + 2) * SPREAD_GAP:
                break
            crowded.append(name)
            name = self._sections[name].following
        for place, other in enumerate(crowded, start=1):
            self._relabel(other, low + place * SPREAD_GAP)

    def _relabel(self, name: str, label: int) -> None:
        rule = self._rule(name)
        if rule is not None:
            self._unindex(rule)
        self._change(name, label=label)
        if rule is not None:
            self._index(rule)

    # What the sections describe.

    def _rule(self, section_name: str) -> Rule | None:
        kind, _, name = section_name.partition(" ")
        return self.tables["rules"].get(name) if kind == "rule" else None

    def _register(self, section_name: str, parsed: object) -> None:
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


def _section_digest(section: Section) -> int:
    hashed = hashlib.sha256()
    for part in (section.name, section.previous, section.text):
        data = part.encode("utf-8", "surrogatepass")
        hashed.update(b"%d:" % len(data))
        hashed.update(data)
    return int.from_bytes(hashed.digest())


def parse_document(text: str, *, base: Document = EMPTY_DOCUMENT) -> Document:
    r"""Return the document that a text describes.

    Args:
        text: INI text with ``[organisation]``, ``[pipeline]``, ``[service]`` and
            ``[rule]`` sections; the order of the rules is the order of trial.
        base: A document from which sections with equal text are taken over
            instead of being read again.

    Returns:
        A document in which every section is right by itself and with the others.

    Raises:
        InvalidDocument: Names every problem with section, key, line, value and
            what is allowed.

    Example:
        >>> text = "[rule none]\nwhen = always\nthen = refuse because closed\n"
        >>> doc = parse_document(text)
        >>> [rule.name for rule in doc.rules]
        ['none']
    """
    draft = Draft(base=EMPTY_DOCUMENT)
    problems = list(_text_problems(text))
    if problems:
        raise InvalidDocument(problems)
    seen: set[str] = set()
    previous = ENDS
    for parts in split_sections(text):
        if parts.name in seen:
            line = parts.line
            allowed = "each section once"
            problems.append(Problem(parts.name, "", line, parts.name, allowed))
            continue
        seen.add(parts.name)
        parsed = _parsed(parts, base)
        if isinstance(parsed, list):
            problems += parsed
            continue
        draft.put(parts.name, _ended(parts.text), previous, parsed)
        previous = parts.name
    return _checked(draft, problems, broken=seen)


def patch_document(
    old: Document, changes: Iterable[wire_pb2.SectionChange]
) -> Document:
    """Return a document with some sections changed.

    Args:
        old: The document to change; it stays as it is.
        changes: Changes in the order in which they are to be made.

    Returns:
        A new document that shares what did not change.

    Raises:
        InvalidDocument: A change does not fit, or the result is invalid.

    Notes:
        Costs a time that depends on the changes, not on the size of the document,
        but for a logarithm and for the copying of a list of the rules that share
        one index key. A change to a rule with ``when = always`` looks at every rule.
    """
    draft = Draft(base=old)
    problems: list[Problem] = []
    for change in changes:
        problems += _apply_change(draft, change)
    return _checked(draft, problems)


def _apply_change(draft: Draft, change: wire_pb2.SectionChange) -> list[Problem]:
    sections = draft.tables["sections"]
    if change.removed:
        if change.name == ENDS or change.name not in sections:
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
    draft.put(change.name, _ended(change.text), change.after, parsed)
    return []


def _ended(text: str) -> str:
    return text if text.endswith("\n") else text + "\n"


def _text_problems(text: str) -> Iterable[Problem]:
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        yield Problem("", "", line, text[exc.start], "text that UTF-8 can hold")
    if text.strip() and next(split_sections(text), None) is None:
        yield Problem("", "", 1, text.strip()[:80], "sections, each with a header")


def _parsed(parts: SectionParts, base: Document) -> object:
    known = base.tables.sections.get(parts.name)
    if known is None or parts.name == ENDS or known.text != _ended(parts.text):
        return parse_section(parts)
    kind, _, name = parts.name.partition(" ")
    return getattr(base.tables, f"{kind}s")[name]


def _checked(
    draft: Draft, problems: list[Problem], broken: Container[str] = ()
) -> Document:
    document = draft.freeze()
    problems = problems + list(cross_check(document, draft.touched, broken))
    if problems:
        raise InvalidDocument(dict.fromkeys(problems))
    return document
