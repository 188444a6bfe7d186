"""Data model of a route table: routes, services, organisations and limits."""

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
    """Which requests may be retried after a failure."""

    SAFE = "safe"  # idempotent: may run any number of times
    UNSAFE = "unsafe"  # may run once for each attempt of the caller
    STREAM = "stream"  # as unsafe, unless the route is resumable


@dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Its weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Route of the requests for one host and path prefix.

    Attributes:
        name: Name that the operator gave it.
        host: Host, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        repeat: Whether requests may be retried.
        timeout_s: Timeout of a request.
        target_s: Response time up to which a response gets full credit.
        gap_target_s: Target for the longest pause between two events of a stream; 0 if
            there is none.
        priority: Priority; 0 is the highest.
        shares: Services with their weights.
        max_attempts: Most backend servers to which one attempt of a caller is sent.
        public: Whether requests need no key.
        generates: Whether requests are generations on model engines.
        resumable: Whether a stream may resume at another backend server.
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
        size_mb: Memory for layers and KV cache together.
        pace: Factor on the model's time of a decode step.
        read_factor: Factor on the model's time to prefill a prompt.
    """

    name: str
    size_mb: float
    pace: float
    read_factor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Memory needs and computing times of the engines of a service.

    Times are for all layers on an accelerator with ``pace`` 1.

    Attributes:
        layers: Layers of the model; 0 if an engine always holds all.
        layer_mb: Memory of one layer.
        token_bytes: KV cache of one token in all layers.
        room_tokens: Usual KV cache capacity of an engine, in tokens.
        activation_bytes: Bytes of activations per token that cross each hop.
        pipe_mbps: Rate of the link between two failure domains.
        slots: Number of requests that an engine runs concurrently.
        step_ms: Base time of a decode step.
        event_tokens: Tokens per event of a stream.
        sequence_ms: Additional time of a step for each decoding request.
        context_ms: Additional time of a step for 1,000 tokens of context.
        read_tokens_per_s: Prefill rate.
        usual_prompt: Mean number of tokens of a prompt.
        usual_answer: Mean number of tokens of a response.
        accelerators: Kinds of accelerators, by name.
        delays_ms: One-way delay between two failure domains, by the sorted pair of
            their names.
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
        """Return the one-way delay between two failure domains; 0 if not configured.

        Example:
            >>> EngineProfile(delays_ms={("a", "b"): 0.5}).delay_ms("b", "a")
            0.5
        """
        pair = (here, there) if here < there else (there, here)
        return self.delays_ms.get(pair, 0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of backend servers with the same function.

    Attributes:
        name: Name of the service.
        max_connections: Most connections to one of its backend servers.
        engine: Profile of its engines; None for a plain service.
    """

    name: str
    max_connections: int = 0
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer with its keys.

    Attributes:
        name: Name that is sent to backend servers.
        keys: Keys of its callers.
        priority: Overrides the priority of the route; None to use that of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size and idle limits of callers' connections.

    Attributes:
        header_bytes: Maximum size of the headers.
        body_bytes: Maximum size of a body.
        header_timeout_s: Longest time in which a caller sends the head of a request.
        idle_s: Longest idle time between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """A complete configuration of routes.

    Attributes:
        number: Number that the operator gave it; 0 before any configuration.
        routes: Routes by host, then by path prefix.
        services: Services by name.
        organisations: Organisations by key.
        needs_keys: Whether requests need a key, except on public routes.
        limits: Limits of callers.
    """

    number: int = 0
    routes: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    needs_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def delay_ms(self, here: str, there: str) -> float:
        """Return the longest delay that any service configures between two domains."""
        engines = [service.engine for service in self.services.values()]
        delays = [engine.delay_ms(here, there) for engine in engines if engine]
        return max(delays, default=0.0)
