"""Plain data of a route table: routes, services, organisations and limits."""

__all__ = [
    "Accelerator",
    "CallerLimits",
    "EngineProfile",
    "Organisation",
    "Repeat",
    "Route",
    "RouteTable",
    "Service",
    "Share",
]

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class Repeat(StrEnum):
    """What may be done again after a failure."""

    SAFE = "safe"  # may run any number of times
    UNSAFE = "unsafe"  # may run once for each attempt of the caller
    STREAM = "stream"  # as unsafe, unless the route may be resumed


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name that the operator gave it.
        host: Host, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        repeat: What may be done again.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time within which an answer earns its full credit.
        gap_target_s: Longest pause between two events of a stream; 0: not told.
        priority: Rank, 0 first.
        shares: Services with their weights.
        max_attempts: Most backend servers that one attempt of a caller is sent to.
        public: Whether it needs no key.
        generates: Whether its requests are generations on model engines.
        resumable: Whether a stream may go on at another backend server.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float = 0.0
    gap_target_s: float = 0.0
    priority: int = 5
    shares: tuple[Share, ...] = ()
    max_attempts: int = 1
    public: bool = False
    generates: bool = False
    resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is Repeat.SAFE or self.resumable


@dataclass(frozen=True, slots=True, kw_only=True)
class Accelerator:
    """One kind of accelerator that a model runs on.

    Attributes:
        name: Name of the kind.
        size_mb: Memory for layers and requests together.
        pace: Factor on the time of a step, over the model's own.
        read_factor: Factor on the time to read a prompt.
    """

    name: str
    size_mb: float
    pace: float
    read_factor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """What the engines of a service need and how long their work takes.

    Times hold for all layers on an accelerator of pace 1.

    Attributes:
        layers: Layers of the model; 0 where an engine always holds all.
        layer_mb: Memory of one layer.
        token_bytes: Memory of one token in all layers.
        room_tokens: Tokens of requests that an engine usually has room for.
        activation_bytes: What one token sends over each hop.
        pipe_mbps: Rate of the link between two failure domains.
        slots: Requests that an engine runs at once.
        step_ms: One step.
        event_tokens: Tokens in an event of a stream.
        sequence_ms: Further time of a step for each request that is writing.
        context_ms: Further time of a step for 1,000 tokens of context.
        read_tokens_per_s: Rate at which prompts are read.
        usual_prompt: Mean tokens of a prompt.
        usual_answer: Mean tokens of an answer.
        accelerators: Kinds by name.
        delays_ms: One way between two failure domains, by the pair of their names in
            order.
    """

    layers: int = 0
    layer_mb: float = 0.0
    token_bytes: float = 0.0
    room_tokens: float = 0.0
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0
    slots: int = 0
    step_ms: float = 0.0
    event_tokens: float = 1.0
    sequence_ms: float = 0.0
    context_ms: float = 0.0
    read_tokens_per_s: float = 0.0
    usual_prompt: float = 0.0
    usual_answer: float = 0.0
    accelerators: Mapping[str, Accelerator] = field(default_factory=dict)
    delays_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)

    def delay_ms(self, here: str, there: str) -> float:
        """Return the delay between two failure domains; 0 where none is told.

        Example:
            >>> EngineProfile(delays_ms={("a", "b"): 0.5}).delay_ms("b", "a")
            0.5
        """
        pair = (here, there) if here < there else (there, here)
        return self.delays_ms.get(pair, 0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Backend servers that do one kind of work.

    Attributes:
        name: Its name.
        max_connections: Connections that one of its backend servers takes.
        engine: What its engines need; None for a plain service.
    """

    name: str
    max_connections: int = 0
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer with its keys.

    Attributes:
        name: Name that backend servers are told.
        keys: Keys of its callers.
        priority: Rank that goes before the route's; None: the route's holds.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle.

    Attributes:
        header_bytes: Most bytes of headers.
        body_bytes: Most bytes of a body.
        idle_s: Longest pause between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """A whole configuration of routes under its operator's number.

    Attributes:
        number: The operator's number; 0 for none.
        routes: Routes by host, then by path prefix.
        services: Services by name.
        organisations: Organisations by key.
        needs_keys: Whether requests need a key at all.
        limits: Limits of callers.
    """

    number: int = 0
    routes: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    needs_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def delay_ms(self, here: str, there: str) -> float:
        """Return the longest delay that any service tells between two domains."""
        engines = [service.engine for service in self.services.values()]
        told = [engine.delay_ms(here, there) for engine in engines if engine]
        return max(told, default=0.0)
