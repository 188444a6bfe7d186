"""Parses the ``when`` line of rules into terms, their predicates and index keys."""

__all__ = [
    "MAX_PREFIX_SEGMENTS",
    "WHEN_ALLOWED",
    "Term",
    "fact_keys",
    "index_keys",
    "parse_when",
    "term_test",
]

import itertools
import operator
import re
import shlex
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.rules.model import RequestFacts

# Bounds the index lookups for the path of one request.
MAX_PREFIX_SEGMENTS = 16
# Index key of every request, for rules without an indexable term.
UNINDEXED = ""
HEADER_NAME = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+")
TEXT_FIELDS = ("organisation", "model", "path", "method")
NUMBER_FIELDS = ("priority", "prompt_bytes")
FLAGS = {"yes": True, "no": False}
WHEN_ALLOWED = (
    "always, or terms joined by and: [not] (organisation|model|path|method|header"
    " NAME) is VALUE or in VALUE, VALUE; path under /PREFIX/; stream is yes|no;"
    " (priority|prompt_bytes) (is|above|below) NUMBER; quote values with spaces"
)
# Most selective first: a request has one organisation, while many rules share a path.
INDEX_PREFERENCE = (
    ("organisation", "is"),
    ("header", "is"),
    ("model", "is"),
    ("path", "is"),
    ("path", "under"),
)


@dataclass(frozen=True, slots=True)
class Term:
    """One condition of a rule.

    Attributes:
        field: Request attribute that is compared.
        relation: ``is`` (one of the values), ``under``, ``above`` or ``below``.
        values: Values that the attribute is compared with.
        negated: Whether the result of the comparison is inverted.
        header: Lower-case header name if the field is ``header``, otherwise empty.
    """

    field: str
    relation: str
    values: tuple[str, ...]
    negated: bool = False
    header: str = ""

    def __str__(self) -> str:
        sign = "not " if self.negated else ""
        values = ", ".join(shlex.quote(value) for value in self.values)
        return f"{sign}{self.field} {self.header} {self.relation} {values}"


def parse_when(text: str) -> tuple[Term, ...]:
    """Parse a ``when`` line into its terms; ``always`` has none.

    Args:
        text: Value of the ``when`` key.

    Raises:
        ValueError: The text does not follow the syntax.

    Example:
        >>> [str(term) for term in parse_when("path under /v1/ and not model is m")]
        ['path  under /v1/', 'not model  is m']
    """
    tokens = _tokens(text)
    if tokens == ["always"]:
        return ()
    terms = []
    while True:
        terms.append(_parse_term(tokens))
        if not tokens:
            return tuple(terms)
        _expect(tokens, "and")


def _tokens(text: str) -> list[str]:
    """Return the tokens of a line in reverse order, so that a pop yields the next."""
    lexer = shlex.shlex(text, posix=True, punctuation_chars=",")
    lexer.whitespace_split = True
    lexer.commenters = ""
    return list(lexer)[::-1]


def _next_token(tokens: list[str]) -> str:
    if not tokens:
        raise ValueError("ends too early")
    return tokens.pop()


def _accept(tokens: list[str], word: str) -> bool:
    found = tokens[-1:] == [word]
    if found:
        tokens.pop()
    return found


def _expect(tokens: list[str], *words: str) -> str:
    word = _next_token(tokens)
    if word not in words:
        raise ValueError(f"{word!r} where {' or '.join(words)} is due")
    return word


def _parse_term(tokens: list[str]) -> Term:
    negated = _accept(tokens, "not")
    field = _expect(tokens, *TEXT_FIELDS, *NUMBER_FIELDS, "header", "stream")
    if field in NUMBER_FIELDS:
        return _number_term(field, negated, tokens)
    if field == "stream":
        _expect(tokens, "is")
        return Term(field, "is", (_expect(tokens, *FLAGS),), negated)
    header = _header_name(tokens) if field == "header" else ""
    return _text_term(field, header, negated, tokens)


def _text_term(field: str, header: str, negated: bool, tokens: list[str]) -> Term:
    relations = ("is", "in", "under") if field == "path" else ("is", "in")
    relation = _expect(tokens, *relations)
    if relation == "under":
        return Term(field, relation, (_checked_prefix(_next_token(tokens)),), negated)
    values = _value_list(tokens) if relation == "in" else (_next_value(tokens),)
    if field == "method":
        values = tuple(value.upper() for value in values)
    return Term(field, "is", values, negated, header)


def _header_name(tokens: list[str]) -> str:
    name = _next_token(tokens).lower()
    if not HEADER_NAME.fullmatch(name):
        raise ValueError(f"{name!r} is not a header name")
    return name


def _number_term(field: str, negated: bool, tokens: list[str]) -> Term:
    relation = _expect(tokens, "is", "above", "below")
    return Term(field, relation, (str(int(_next_token(tokens))),), negated)


def _next_value(tokens: list[str]) -> str:
    value = _next_token(tokens)
    if set(value) <= {","}:
        raise ValueError("a value is missing")
    return value


def _value_list(tokens: list[str]) -> tuple[str, ...]:
    values = [_next_value(tokens)]
    while _accept(tokens, ","):
        values.append(_next_value(tokens))
    return tuple(sorted(set(values)))


def _checked_prefix(prefix: str) -> str:
    if not prefix.startswith("/"):
        raise ValueError(f"prefix {prefix!r} does not start with /")
    prefix = prefix.rstrip("/") + "/"
    if prefix.count("/") > MAX_PREFIX_SEGMENTS:
        raise ValueError(f"prefix has more than {MAX_PREFIX_SEGMENTS} segments")
    return prefix


def term_test(term: Term) -> Callable[[RequestFacts], bool]:
    """Return a predicate over requests that evaluates a term."""
    test = _plain_test(term)
    if not term.negated:
        return test
    return lambda facts: not test(facts)


def _plain_test(term: Term) -> Callable[[RequestFacts], bool]:
    if term.field == "header":
        return lambda facts: facts.headers.get(term.header) in term.values
    read = operator.attrgetter(term.field)
    if term.field == "stream":
        wanted = FLAGS[term.values[0]]
        return lambda facts: facts.stream is wanted
    if term.field in NUMBER_FIELDS:
        return _number_test(read, term.relation, int(term.values[0]))
    if term.relation == "under":
        prefix = term.values[0]
        return lambda facts: (facts.path + "/").startswith(prefix)
    values = frozenset(term.values)
    return lambda facts: read(facts) in values


def _number_test(
    read: Callable[[RequestFacts], int], relation: str, bound: int
) -> Callable[[RequestFacts], bool]:
    compare = {"is": operator.eq, "above": operator.gt, "below": operator.lt}[relation]
    return lambda facts: compare(read(facts), bound)


def index_keys(terms: Sequence[Term]) -> tuple[str, ...]:
    """Return index keys of which each matching request has at least one.

    Args:
        terms: Terms of one rule.

    Returns:
        Keys of the most selective term; the key ``UNINDEXED``, which every request
        has, if no term can be indexed.
    """
    for field, relation in INDEX_PREFERENCE:
        for term in terms:
            if (term.field, term.relation, term.negated) == (field, relation, False):
                return tuple(_key(term, value) for value in term.values)
    return (UNINDEXED,)


def _key(term: Term, value: str) -> str:
    return f"{term.field} {term.header} {term.relation} {value}"


def fact_keys(facts: RequestFacts, *, headers: bool = True) -> Iterator[str]:
    """Yield all index keys of a request.

    Args:
        facts: The request.
        headers: Whether to include the keys of headers.
    """
    yield UNINDEXED
    yield f"organisation  is {facts.organisation}"
    yield f"model  is {facts.model}"
    yield f"path  is {facts.path}"
    for prefix in _prefixes(facts.path + "/"):
        yield f"path  under {prefix}"
    if headers:
        yield from _header_keys(facts.headers)


def _prefixes(path: str) -> Iterator[str]:
    end = -1
    for _ in itertools.repeat(None, MAX_PREFIX_SEGMENTS):
        end = path.find("/", end + 1)
        if end < 0:
            return
        yield path[: end + 1]


def _header_keys(headers: Mapping[str, str]) -> Iterator[str]:
    for name, value in headers.items():
        yield f"header {name} is {value}"
