"""Plain data of the rules document and of the decision for one request."""

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
    """A customer.

    Attributes:
        name: Name used in rules and reports.
        key_digests: SHA-256 hex digests of its API keys.
        share: Weight for fair sharing of engines.
        concurrency: Requests in progress over all entries; 0 for no limit.
        rate: Requests per second over all entries; 0 for no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    concurrency: int = 0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Pipeline:
    """A model to be served by chains of engines.

    Attributes:
        name: Name used as a rule's target.
        model: Name that callers give as ``model``.
        layers: Number of layers of the model.
        replicas: Chains wanted.
        version: Model version to load; empty for the engine's own.
        adapter: Adapter to load; empty for none.
        stages: Stages per chain; 0 lets placement choose.
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
    """A plain service that requests may be routed to."""

    name: str
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What rules may look at.

    Attributes:
        organisation: Name of the caller's organisation.
        method: HTTP method in upper case.
        path: Path without query string.
        model: Model named by the caller; empty for calls to plain services.
        stream: Whether a stream was asked for.
        priority: Priority asked for.
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
    """What the first matching rule decided.

    Attributes:
        rule: Name of the rule.
        action: Route or refuse.
        pipeline: Target pipeline, or empty.
        service: Target plain service, or empty.
        reason: Text for the caller of a refusal.
        limit: Requests in progress under this rule per organisation; 0: none.
        priority: Priority to use; None keeps the caller's.
        deadline_s: Longest deadline in seconds; 0 for none.
        once: The work must not be repeated.
        attempts: Most dispatches for one request.
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
