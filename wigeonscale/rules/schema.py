"""Schema of the sections of a rules document, validated with pydantic."""

__all__ = ["KINDS", "Parsed", "Rule", "SectionModel", "key_digest"]

import hashlib
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from wigeonscale.config.keys import NAME_PATTERN, Allowed, count
from wigeonscale.rules.conditions import (
    WHEN_ALLOWED,
    Term,
    index_keys,
    parse_when,
    term_test,
)
from wigeonscale.rules.model import (
    Action,
    Decision,
    Organisation,
    Pipeline,
    PlainService,
    RequestFacts,
)

DIGEST_KEY = re.compile(r"sha256:[0-9a-f]{64}")
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
MAX_DEADLINE_S = 86400.0


@dataclass(frozen=True, slots=True)
class Rule:
    """One compiled rule.

    Attributes:
        name: Name of the rule.
        terms: Conditions that must all hold.
        tests: Predicates over requests, one per term.
        decision: Decision for matching requests.
        targets: Pairs of a key and the name of the section that it refers to.
        index_keys: Keys under which the rule is indexed; see ``conditions``.
    """

    name: str
    terms: tuple[Term, ...]
    tests: tuple[Callable[[RequestFacts], bool], ...]
    decision: Decision
    targets: tuple[tuple[str, str], ...]
    index_keys: tuple[str, ...]

    @property
    def index_headers(self) -> set[str]:
        """Names of the headers under which the rule is indexed."""
        header_keys = (key for key in self.index_keys if key.startswith("header "))
        return {key.split(" ")[1] for key in header_keys}

    @property
    def condition(self) -> str:
        """Canonical text of the terms, independent of their order."""
        return " and ".join(sorted(str(term) for term in self.terms))


def key_digest(api_key: str) -> str:
    """Return the SHA-256 hex digest by which an API key is looked up."""
    return hashlib.sha256(api_key.encode("utf-8", "surrogatepass")).hexdigest()


def _split_keys(value: object) -> object:
    if not isinstance(value, str):
        return value
    keys = [key.strip() for key in value.split(",") if value.strip()]
    return tuple(_checked_digest(key) for key in keys)


def _checked_digest(key: str) -> str:
    if key.startswith("sha256:"):
        if not DIGEST_KEY.fullmatch(key):
            raise ValueError("not a SHA-256 digest")
        return key.removeprefix("sha256:")
    if not key or not key.isascii() or any(char.isspace() for char in key):
        raise ValueError("not a key")
    return key_digest(key)


def _parse_duration(value: object) -> object:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", str(value), re.ASCII)
    if not match:
        raise ValueError("not a duration")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def _parse_then(value: object) -> object:
    words = str(value).split(maxsplit=2)
    if len(words) == 3 and words[:2] == ["refuse", "because"]:
        return {"action": Action.REFUSE, "reason": words[2]}
    targets = ("pipeline", "service")
    if len(words) == 3 and words[0] == "route" and words[1] in targets:
        if re.match(NAME_PATTERN, words[2]):
            return {"action": Action.ROUTE, words[1]: words[2]}
    raise ValueError("neither a route nor a refusal")


def _when_terms(value: object) -> object:
    return parse_when(str(value))


class SectionModel(BaseModel):
    """Base class of the section schemas; unknown keys are errors."""

    # Validators are built on first use, so that a daemon without rules starts 40 ms
    # faster.
    model_config = ConfigDict(
        extra="forbid", arbitrary_types_allowed=True, defer_build=True
    )


class _OrganisationSection(SectionModel):
    keys: Annotated[
        tuple[str, ...],
        BeforeValidator(_split_keys),
        Allowed("a comma list of API keys or of sha256:DIGEST, 64 lower-case hex"),
    ] = ()
    share: Annotated[
        float, Field(ge=0.01, le=1000), Allowed("a weight from 0.01 to 1000")
    ] = 1.0
    concurrency: count(0, 1_000_000) = 0
    rate: Annotated[
        float, Field(ge=0, le=1e6), Allowed("requests per second from 0 to 1000000")
    ] = 0.0


class _PipelineSection(SectionModel):
    model: Annotated[
        str, Field(pattern=r"^\S{1,200}$"), Allowed("a model name without spaces")
    ]
    layers: count(1, 1000)
    replicas: count(0, 10_000) = 1
    version: Annotated[
        str, Field(pattern=r"^\S{0,200}$"), Allowed("a version without spaces")
    ] = ""
    adapter: Annotated[
        str, Field(pattern=r"^\S{0,200}$"), Allowed("an adapter name without spaces")
    ] = ""
    stages: count(0, 1000) = 0


class _ServiceSection(SectionModel):
    timeout: Annotated[
        float,
        BeforeValidator(_parse_duration),
        Field(gt=0, le=3600),
        Allowed("a duration up to 1h, such as 500ms, 30s or 2m"),
    ] = 30.0


class _RuleSection(SectionModel):
    when: Annotated[
        tuple[Term, ...], BeforeValidator(_when_terms), Allowed(WHEN_ALLOWED)
    ]
    then: Annotated[
        dict,
        BeforeValidator(_parse_then),
        Allowed("route pipeline NAME, route service NAME or refuse because TEXT"),
    ]
    limit: count(0, 1_000_000) = 0
    priority: Annotated[
        int | None,
        Field(ge=-100, le=100),
        Allowed("a whole number from -100 to 100"),
    ] = None
    deadline: Annotated[
        float,
        BeforeValidator(_parse_duration),
        Field(gt=0, le=MAX_DEADLINE_S),
        Allowed("a duration up to 24h, such as 500ms, 30s or 2m"),
    ] = 0.0
    repeat: Annotated[Literal["never", "allowed"], Allowed("never or allowed")] = (
        "allowed"
    )
    attempts: count(1, 10) = 3


def _organisation(name: str, section: _OrganisationSection) -> Organisation:
    return Organisation(
        name=name,
        key_digests=section.keys,
        share=section.share,
        concurrency=section.concurrency,
        rate=section.rate,
    )


def _pipeline(name: str, section: _PipelineSection) -> Pipeline:
    return Pipeline(name=name, **section.model_dump())


def _service(name: str, section: _ServiceSection) -> PlainService:
    return PlainService(name=name, timeout_s=section.timeout)


def _rule(name: str, section: _RuleSection) -> Rule:
    decision = Decision(
        rule=name,
        **section.then,
        limit=section.limit,
        priority=section.priority,
        deadline_s=section.deadline,
        once=section.repeat == "never",
        attempts=section.attempts,
    )
    return Rule(
        name=name,
        terms=section.when,
        tests=tuple(term_test(term) for term in section.when),
        decision=decision,
        targets=tuple(_targets(section)),
        index_keys=index_keys(section.when),
    )


def _targets(section: _RuleSection) -> Iterator[tuple[str, str]]:
    for kind in ("pipeline", "service"):
        if kind in section.then:
            yield "then", f"{kind} {section.then[kind]}"
    for term in section.when:
        if term.field == "organisation":
            for name in term.values:
                yield "when", f"organisation {name}"


Parsed = Organisation | Pipeline | PlainService | Rule

KINDS: dict[str, tuple[type[SectionModel], Callable[[str, SectionModel], Parsed]]] = {
    "organisation": (_OrganisationSection, _organisation),
    "pipeline": (_PipelineSection, _pipeline),
    "service": (_ServiceSection, _service),
    "rule": (_RuleSection, _rule),
}
