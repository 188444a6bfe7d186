"""Validation across the sections of a document."""

__all__ = ["cross_check", "shadowed_rules"]

import itertools
from collections.abc import Callable, Container, Iterable, Iterator

from wigeonscale.rules.document import Document
from wigeonscale.rules.model import Organisation, Pipeline
from wigeonscale.rules.problems import Problem
from wigeonscale.rules.schema import Rule
from wigeonscale.rules.sections import SectionParts, key_line

# Only this many terms of a rule are used in the search for shadowing rules, since each
# further term doubles the number of subsets.
MAX_SHADOW_CHECK_TERMS = 8
# Condition of a rule with ``when = always``.
ALWAYS = ""


def cross_check(
    document: Document,
    changed_names: Iterable[str],
    line_of: Callable[[str], int],
    invalid: Container[str] = (),
) -> list[Problem]:
    """Return conflicts between sections that involve a changed section.

    Args:
        document: The changed document.
        changed_names: Names of the sections that were added, replaced or removed.
        line_of: Returns the first line of a section; only called for problems.
        invalid: Names of sections left out of the document as invalid.
    """
    checker = _CrossChecker(document=document, line_of=line_of, invalid=invalid)
    for section_name in changed_names:
        checker.check_section(section_name)
    return checker.problems


class _CrossChecker:
    def __init__(
        self,
        *,
        document: Document,
        line_of: Callable[[str], int],
        invalid: Container[str],
    ):
        self.problems: list[Problem] = []
        self._document = document
        self._tables = document.tables
        self._line_of = line_of
        self._invalid = invalid

    def check_section(self, section_name: str) -> None:
        kind, _, name = section_name.partition(" ")
        parsed = getattr(self._tables, f"{kind}s", {}).get(name)
        if parsed is None:
            self._check_references_to(section_name)
        elif isinstance(parsed, Organisation):
            self._check_shared_keys(parsed)
        elif isinstance(parsed, Pipeline):
            self._check_stage_count(parsed)
        elif isinstance(parsed, Rule):
            self._check_targets(parsed)
            self._check_reachable(parsed)

    def _add_problem(self, section: str, key: str, value: str, allowed: str) -> None:
        text = self._tables.sections[section].text
        parts = SectionParts(section, text, self._line_of(section))
        line = key_line(parts, key) or parts.line
        self.problems.append(Problem(section, key, line, value, allowed))

    def _check_references_to(self, removed: str) -> None:
        if not self._tables.uses.get(removed) or removed in self._invalid:
            return
        for rule in self._document.rules:
            for key, target in rule.targets:
                if target == removed:
                    self._add_missing_target(rule, key, target)

    def _check_targets(self, rule: Rule) -> None:
        for key, target in rule.targets:
            known = target in self._tables.sections or target in self._invalid
            if not known:
                self._add_missing_target(rule, key, target)

    def _add_missing_target(self, rule: Rule, key: str, target: str) -> None:
        kind, _, name = target.partition(" ")
        allowed = f"the name of a [{kind} NAME] section of this document"
        self._add_problem(f"rule {rule.name}", key, name, allowed)

    def _check_shared_keys(self, organisation: Organisation) -> None:
        section = f"organisation {organisation.name}"
        for digest in organisation.key_digests:
            owners = self._tables.key_owners[digest]
            if len(owners) > 1:
                allowed = f"a key held once; held by {', '.join(owners)}"
                self._add_problem(section, "keys", f"sha256:{digest}", allowed)

    def _check_stage_count(self, pipeline: Pipeline) -> None:
        if pipeline.stages > pipeline.layers:
            section = f"pipeline {pipeline.name}"
            allowed = f"at most one stage a layer, {pipeline.layers}"
            self._add_problem(section, "stages", str(pipeline.stages), allowed)

    def _check_reachable(self, rule: Rule) -> None:
        for other in self._tables.conditions[rule.condition]:
            self._add_shadowed(*sorted((rule.name, other), key=self._label))
        for always in self._tables.conditions.get(ALWAYS, ()):
            if self._label(always) < self._label(rule.name):
                self._add_shadowed(always, rule.name)
        if rule.condition == ALWAYS:
            self._check_rules_after(rule.name)

    def _check_rules_after(self, always: str) -> None:
        for name in self._tables.rules:
            if self._label(name) > self._label(always):
                self._add_shadowed(always, name)

    def _add_shadowed(self, earlier: str, later: str) -> None:
        if earlier != later:
            allowed = f"a condition that rule {earlier} before it does not always meet"
            self._add_problem(f"rule {later}", "when", later, allowed)

    def _label(self, rule_name: str) -> int:
        return self._tables.sections[f"rule {rule_name}"].label


def shadowed_rules(document: Document) -> Iterator[tuple[str, str]]:
    """Yield (rule, earlier rule) pairs where the earlier rule shadows the rule.

    A rule is shadowed if its terms are a superset of the terms of an earlier rule.
    Such a document is accepted, but operators are warned.

    Notes:
        Takes O(2^terms) time per rule, with at most ``MAX_SHADOW_CHECK_TERMS`` terms.
    """
    seen: dict[frozenset[str], str] = {}
    for rule in document.rules:
        terms = sorted({str(term) for term in rule.terms})
        earlier = _find_subset(seen, terms[:MAX_SHADOW_CHECK_TERMS])
        if earlier is not None:
            yield rule.name, earlier
        seen.setdefault(frozenset(terms), rule.name)


def _find_subset(seen: dict[frozenset[str], str], terms: list[str]) -> str | None:
    for size in range(len(terms) + 1):
        for subset in itertools.combinations(terms, size):
            if frozenset(subset) in seen:
                return seen[frozenset(subset)]
    return None
