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
    r"""Evaluates the rules of one document for requests.

    Args:
        document: The document, whose index is used without a copy.

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
        """Return the ruleset of a document, in constant time."""
        return cls(document=document)

    def decide(self, facts: RequestFacts) -> Decision:
        """Return the decision of the first matching rule.

        Args:
            facts: The request.

        Raises:
            WigeonscaleError: No rule matches (``NO_MATCHING_RULE``).

        Notes:
            Evaluates only rules that share an index key with the request, in document
            order, so that the number of organisations and of rules for other
            organisations does not affect the time.
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
        """Return the organisation to which an API key belongs, or None."""
        owners = self._key_owners.get(key_digest(api_key))
        return self.document.organisations[owners[0]] if owners else None
