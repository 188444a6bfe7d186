"""Finds the first rule that matches a request."""

__all__ = ["Ruleset"]

import heapq
from collections.abc import Iterator

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.rules.conditions import fact_keys
from wigeonscale.rules.document import Document
from wigeonscale.rules.model import Decision, Organisation, RequestFacts
from wigeonscale.rules.schema import Rule, key_digest


class Ruleset:
    r"""The rules of one document, ready to decide requests.

    Args:
        document: The document; its index is used as it stands.

    Example:
        >>> from wigeonscale.rules import parse_document
        >>> text = "[rule all]\nwhen = always\nthen = refuse because closed\n"
        >>> rules = Ruleset.from_document(parse_document(text))
        >>> rules.decide(RequestFacts(organisation="o", method="GET", path="/")).reason
        'closed'
    """

    def __init__(self, *, document: Document):
        self.document = document
        self._candidates = document.tables.candidates
        self._key_owners = document.tables.key_owners
        self._with_headers = len(document.tables.header_names) > 0

    @classmethod
    def from_document(cls, document: Document) -> "Ruleset":
        """Return the ruleset of a document; costs the same for any size."""
        return cls(document=document)

    def decide(self, facts: RequestFacts) -> Decision:
        """Return what the first matching rule decides.

        Args:
            facts: The request.

        Raises:
            WigeonscaleError: ``NO_MATCHING_RULE``.

        Notes:
            Looks at the rules that share an index key with the request, in order,
            until one matches: the number of organisations and of rules for others
            does not count.
        """
        for rule in self._in_order(facts):
            if all(test(facts) for test in rule.tests):
                return rule.decision
        raise WigeonscaleError(
            ErrorKind.NO_MATCHING_RULE,
            f"no rule matches {facts.method} {facts.path} of organisation"
            f" {facts.organisation} with model {facts.model!r}",
        )

    def _in_order(self, facts: RequestFacts) -> Iterator[Rule]:
        keys = fact_keys(facts, headers=self._with_headers)
        found = [self._candidates.get(key) for key in keys]
        for _, rule in heapq.merge(*filter(None, found)):
            yield rule

    def organisation_for_key(self, api_key: str) -> Organisation | None:
        """Return the organisation that holds an API key, or None."""
        owners = self._key_owners.get(key_digest(api_key))
        return self.document.organisations[owners[0]] if owners else None
