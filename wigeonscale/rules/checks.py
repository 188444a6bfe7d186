"""Checks of a document's sections against each other."""

__all__ = ["cross_check", "shadowed_rules"]

import itertools
from collections.abc import Container, Iterable, Iterator

from wigeonscale.rules.document import Document
from wigeonscale.rules.model import Organisation, Pipeline
from wigeonscale.rules.problems import Problem
from wigeonscale.rules.sections import Rule, SectionParts, key_line

# Rules with more terms are not searched for shadowing: subsets double each time.
MAX_SHADOW_TERMS = 8
ALWAYS = ""


def cross_check(
    document: Document, touched: Iterable[str], broken: Container[str] = ()
) -> Iterator[Problem]:
    """Yield what is wrong between sections, as far as changed ones are involved.

    Args:
        document: The changed document.
        touched: Names of the sections that were put or removed.
        broken: Names of sections left out because they are wrong by themselves.
    """
    for section_name in touched:
        kind, _, name = section_name.partition(" ")
        parsed = getattr(document.tables, f"{kind}s", {}).get(name)
        if parsed is None:
            yield from _dangling_uses(document, section_name)
        elif isinstance(parsed, Organisation):
            yield from _shared_keys(document, parsed)
        elif isinstance(parsed, Pipeline):
            yield from _too_many_stages(document, parsed)
        elif isinstance(parsed, Rule):
            yield from _missing_targets(document, parsed, broken)
            yield from _unreachable(document, parsed)


def _problem(
    document: Document, section: str, key: str, value: str, allowed: str
) -> Problem:
    parts = SectionParts(
        section, document.tables.sections[section].text, document.section_line(section)
    )
    return Problem(section, key, key_line(parts, key) or parts.line, value, allowed)


def _dangling_uses(document: Document, removed: str) -> Iterator[Problem]:
    if not document.tables.uses.get(removed):
        return
    for rule in document.rules:
        for key, target in rule.targets:
            if target == removed:
                yield _missing_target(document, rule, key, target)


def _missing_targets(
    document: Document, rule: Rule, broken: Container[str]
) -> Iterator[Problem]:
    for key, target in rule.targets:
        if target not in document.tables.sections and target not in broken:
            yield _missing_target(document, rule, key, target)


def _missing_target(document: Document, rule: Rule, key: str, target: str) -> Problem:
    kind, _, name = target.partition(" ")
    allowed = f"the name of a [{kind} NAME] section of this document"
    return _problem(document, f"rule {rule.name}", key, name, allowed)


def _shared_keys(document: Document, organisation: Organisation) -> Iterator[Problem]:
    section = f"organisation {organisation.name}"
    for digest in organisation.key_digests:
        owners = document.tables.key_owners[digest]
        if len(owners) > 1:
            allowed = f"a key held once; held by {', '.join(owners)}"
            yield _problem(document, section, "keys", f"sha256:{digest}", allowed)


def _too_many_stages(document: Document, pipeline: Pipeline) -> Iterator[Problem]:
    if pipeline.stages > pipeline.layers:
        section = f"pipeline {pipeline.name}"
        allowed = f"at most one stage a layer, {pipeline.layers}"
        yield _problem(document, section, "stages", str(pipeline.stages), allowed)


def _unreachable(document: Document, rule: Rule) -> Iterator[Problem]:
    label = _label(document, rule.name)
    for other in document.tables.conditions[rule.condition]:
        if _label(document, other) < label:
            yield _unreachable_rule(document, rule.name, other)
        if _label(document, other) > label:
            yield _unreachable_rule(document, other, rule.name)
    for always in document.tables.conditions.get(ALWAYS, ()):
        if _label(document, always) < label:
            yield _unreachable_rule(document, rule.name, always)
    if rule.condition == ALWAYS:
        yield from _rules_after(document, rule, label)


def _rules_after(document: Document, always: Rule, label: int) -> Iterator[Problem]:
    for name in document.tables.rules:
        if _label(document, name) > label:
            yield _unreachable_rule(document, name, always.name)


def _unreachable_rule(document: Document, name: str, before: str) -> Problem:
    section = f"rule {name}"
    allowed = f"a condition that rule {before} before it does not always meet"
    return _problem(document, section, "when", name, allowed)


def _label(document: Document, rule_name: str) -> int:
    return document.tables.sections[f"rule {rule_name}"].label


def shadowed_rules(document: Document) -> Iterator[tuple[str, str]]:
    """Yield (rule, earlier rule) where the earlier takes all that the rule would.

    Such a document is accepted, but operators are warned. Found are rules whose
    terms are a superset of an earlier rule's.

    Notes:
        Costs 2 to the power of the number of terms for each rule.
    """
    seen: dict[frozenset[str], str] = {}
    for rule in document.rules:
        terms = sorted({str(term) for term in rule.terms})
        earlier = _seen_subset(seen, terms[:MAX_SHADOW_TERMS])
        if earlier is not None:
            yield rule.name, earlier
        seen.setdefault(frozenset(terms), rule.name)


def _seen_subset(seen: dict[frozenset[str], str], terms: list[str]) -> str | None:
    for size in range(len(terms) + 1):
        for subset in itertools.combinations(terms, size):
            if frozenset(subset) in seen:
                return seen[frozenset(subset)]
    return None
