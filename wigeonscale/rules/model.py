"""Data classes of the rules document and of the decision for a request."""

__all__ = [
    "Action",
    "Decision",
    "Organisation",
    "Pipeline",
    "PlainService",
    "RequestFacts",
]

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class Action(StrEnum):
    """What a rule does with a request."""

    ROUTE = "route"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer organisation.

    Attributes:
        name: Name used in rules and reports.
        key_digests: SHA-256 hex digests of its API keys.
        share: Weight in the fair sharing of engines.
        concurrency: Maximum number of concurrent requests over all entries; 0 for no
            limit.
        rate: Maximum number of requests per second over all entries; 0 for no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    concurrency: int = 0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Pipeline:
    """A model that is served by chains of engines.

    Attributes:
        name: Name that rules use as target.
        model: Name that callers pass as ``model``.
        layers: Number of layers of the model.
        replicas: Target number of chains.
        version: Model version to load; empty for the default of the engine.
        adapter: Adapter to load; empty for none.
        stages: Number of stages per chain; 0 if placement chooses it.
    """

    name: str
    model: str
    layers: int
    replicas: int = 1
    version: str = ""
    adapter: str = ""
    stages: int = 0


@dataclass(frozen=True, slots=True)
class PlainService:
    """A plain HTTP service to which requests can be routed."""

    name: str
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Attributes of a request that rules can match.

    Attributes:
        organisation: Name of the organisation of the caller.
        method: HTTP method in upper case.
        path: Path without the query string.
        model: Model in the request; empty for calls to plain services.
        stream: Whether the request asks for a streamed response.
        priority: Priority in the request.
        prompt_bytes: Size of the prompt or body, in bytes.
        headers: Header values by lower-case name.
    """

    organisation: str
    method: str
    path: str
    model: str = ""
    stream: bool = False
    priority: int = 0
    prompt_bytes: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision of the first matching rule.

    Attributes:
        rule: Name of the rule.
        action: Route or refuse.
        pipeline: Target pipeline, or empty.
        service: Target plain service, or empty.
        reason: Reason for a refusal, which is sent to the caller.
        limit: Maximum number of concurrent requests per organisation under this rule;
            0 for no limit.
        priority: Priority to use; None keeps the priority in the request.
        deadline_s: Maximum deadline in seconds; 0 for none.
        once: Whether the request must not run more than once.
        attempts: Maximum number of dispatches per request.
    """

    rule: str
    action: Action
    pipeline: str = ""
    service: str = ""
    reason: str = ""
    limit: int = 0
    priority: int | None = None
    deadline_s: float = 0.0
    once: bool = False
    attempts: int = 3
