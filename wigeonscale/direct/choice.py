"""Choice of the server or path of a request: pure functions without I/O."""

__all__ = [
    "PathCosts",
    "choose_path",
    "choose_server",
    "path_costs",
    "kv_cache_capacity",
]

import math
from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.layers import Part, find_path
from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import EngineProfile

# Costs of a plain server, in units of its capacity. Servers of one service are similar
# and mostly idle, and traffic between domains is charged and takes a millisecond
# longer. So a server of the entry's own domain is preferred until it is half full.
OTHER_DOMAIN_PENALTY = 0.5
# A server that fails half of its requests costs as much as one with twice its capacity
# in use.
FAILURE_RATE_PENALTY = 4.0
# Silent and avoided servers are used only if there is no other.
LAST_RESORT_PENALTY = 1000.0

# Delay of each token between engines of one domain, in ms. The delay between domains
# is part of the configuration.
NEAR_HOP_MS = 0.1
MEGA = 1e6
BITS_PER_BYTE = 8
# Cost of a path that begins in another failure domain than the entry's own: this many
# mean responses on engines of mean speed, and at least FAR_START_MS. It makes no
# difference to the engines where a path begins, but the response then crosses domains.
# With a lower cost, the entries of all domains overload the domain with the fastest
# engines, because their load data is half a second old, while their own engines are
# idle. The higher the cost, the fewer requests the overloaded engines refuse.
FAR_START_RESPONSES = 4.0
FAR_START_MS = 300.0
# A hop between domains inside a path sends the activations of a prompt, 45 MB, over the
# link that all domains share. It is meant for times when no domain holds all layers. If
# a domain does but is full, rejecting the request is better than such a hop. So a hop
# costs more than the longest path of full engines.
FAR_HOP_BASE_MS = 1_000_000.0
# Penalties that outweigh all computing times. A full engine preempts or refuses
# requests; an avoided one stalls them for seconds. A path with slow engines costs
# seconds more than a healthy one but is better than none, so a full engine costs more
# than any slow one.
FULL_PENALTY_MS = 20_000.0
AVOIDED_PENALTY_MS = 10_000_000.0
# Fraction of an engine's KV cache above which it counts as full. Above 1, because each
# request is counted at its final size, which few have reached at any time; not higher,
# because engines would refuse more sends.
FULL_SHARE = 1.1
NO_RESERVES: Mapping[str, float] = MappingProxyType({})


def choose_server(
    servers: Sequence[BackendServer],
    *,
    tracker: BackendTracker,
    domain: str,
    entry_count: int,
    tried: Container[str] = (),
) -> BackendServer | None:
    """Return the backend server of a plain service for one send, or None.

    Args:
        servers: Servers of the service.
        tracker: Their load and health.
        domain: The entry's own failure domain.
        entry_count: Number of entries with similar traffic.
        tried: Incarnations to which this request was already sent.
    """

    def rank(server: BackendServer) -> tuple[float, str]:
        running, _ = tracker.load_of(server.backend_id, entry_count)
        failure_rate = tracker.lookup(server.backend_id).failure_rate
        cost = running / server.slots + FAILURE_RATE_PENALTY * failure_rate
        if server.domain != domain:
            cost += OTHER_DOMAIN_PENALTY
        if server.is_silent or tracker.is_avoided(server.backend_id):
            cost += LAST_RESORT_PENALTY
        return cost, server.backend_id

    left = [server for server in servers if server.backend_id not in tried]
    return min(left, key=rank, default=None)


@dataclass(frozen=True, slots=True)
class PathCosts:
    """Cost functions of a path, in milliseconds for the whole request.

    Attributes:
        part: Returns the cost of running a number of layers on an engine.
        hop: Returns the cost of a hop between two failure domains.
        token: Returns the time of one token on an engine that runs a number of layers.
        has_capacity: Returns whether an engine has capacity for one more request of
            mean size in a number of its layers.
        far_start: Cost of beginning in another failure domain than the entry's own.
    """

    part: Callable[[BackendServer, int], float]
    hop: Callable[[str, str], float]
    token: Callable[[BackendServer, int], float]
    has_capacity: Callable[[BackendServer, int], bool]
    far_start: float


@dataclass(frozen=True, slots=True)
class _EngineCosts:
    """Cost parameters of one engine.

    Attributes:
        token_ms: Time of one token in one layer.
        layer_ms: Cost of one layer for the whole request.
        fixed_ms: Cost that does not depend on the layers.
        max_layers: Most layers in which it has capacity for one more request of mean
            size.
    """

    token_ms: float
    layer_ms: float
    fixed_ms: float
    max_layers: float


def path_costs(
    engine: EngineProfile,
    generation: GenerationSize,
    *,
    tracker: BackendTracker,
    entry_count: int,
    reserves: Mapping[str, float] = NO_RESERVES,
) -> PathCosts:
    """Return the cost functions of one generation.

    Args:
        engine: Engine profile of the service.
        generation: Sizes of the request.
        tracker: Load and health of the engines.
        entry_count: Number of entries with similar traffic; see
            :meth:`BackendTracker.load_of`.
        reserves: Shares of the capacity of engines that the request must leave free for
            more urgent classes, by failure domain; 0 if missing.

    Notes:
        A token passes all engines one after another, so the times of the parts add
        up. An engine processes all its requests in a batch; the larger the batch, the
        longer a step takes.
    """
    prompt_tokens = generation.prompt_tokens or engine.usual_prompt
    response_tokens = generation.expected_tokens or engine.usual_answer
    tokens = prompt_tokens + response_tokens
    # Capacity is checked with the mean size for every request. With its own size, a
    # large request would be rejected far more often than a small one.
    usual_tokens = engine.usual_prompt + engine.usual_answer
    prefill_ms = 1000.0 * prompt_tokens / engine.read_tokens_per_s
    transfer_ms = (
        1000.0
        * prompt_tokens
        * engine.activation_bytes
        * BITS_PER_BYTE
        / (engine.pipe_mbps * MEGA)
        if engine.pipe_mbps
        else 0.0
    )

    cache: dict[str, _EngineCosts] = {}

    def costs_of(server: BackendServer) -> _EngineCosts:
        # Cached: one choice asks for each range of layers of an engine, some hundred
        # times.
        costs = cache.get(server.backend_id)
        if costs is None:
            costs = cache[server.backend_id] = engine_costs(server)
        return costs

    def engine_costs(server: BackendServer) -> _EngineCosts:
        kind = engine.accelerators.get(server.accelerator)
        if kind is None:
            return _EngineCosts(0.0, 0.0, AVOIDED_PENALTY_MS, -1.0)
        others, used = tracker.load_of(server.backend_id, entry_count)
        step_ms = (
            engine.step_ms
            + engine.sequence_ms * (others + 1)
            + engine.context_ms * others * tokens / 1000.0
        )
        # Some engines work many times slower than usual, and every path through such
        # an engine waits for it.
        token_ms = server.slowness * kind.pace * step_ms / engine.layers
        loaded_prefill_ms = kind.read_factor * prefill_ms * (1 + others / 8)
        is_avoided = server.is_silent or tracker.is_avoided(server.backend_id)
        usable = 1.0 - reserves.get(server.domain, 0.0)
        capacity = FULL_SHARE * kv_cache_capacity(engine, server, kind.size_mb)
        free = usable * capacity - used
        # All requests of a domain pass through a few first engines, which run as many
        # as they have slots and queue the others, even if they have free memory.
        if (
            server.layers.first == 0
            and engine.slots
            and others >= usable * engine.slots
        ):
            free = -1.0
        return _EngineCosts(
            token_ms,
            token_ms * response_tokens
            + server.slowness * loaded_prefill_ms / engine.layers,
            NEAR_HOP_MS * response_tokens + (AVOIDED_PENALTY_MS if is_avoided else 0.0),
            free / usual_tokens if usual_tokens else math.inf,
        )

    def part(server: BackendServer, layers: int) -> float:
        costs = costs_of(server)
        cost = costs.fixed_ms + costs.layer_ms * layers
        return cost if layers <= costs.max_layers else cost + FULL_PENALTY_MS

    def token(server: BackendServer, layers: int) -> float:
        return costs_of(server).token_ms * layers + NEAR_HOP_MS

    def has_capacity(server: BackendServer, layers: int) -> bool:
        return layers <= costs_of(server).max_layers

    def hop(here: str, there: str) -> float:
        if here == there:
            return 0.0
        return (
            FAR_HOP_BASE_MS
            + engine.delay_ms(here, there) * response_tokens
            + transfer_ms
        )

    return PathCosts(part, hop, token, has_capacity, _far_start_ms(engine))


def choose_path(
    servers: Sequence[BackendServer],
    engine: EngineProfile,
    costs: PathCosts,
    *,
    domain: str,
    lost: Container[str] = (),
) -> list[Part] | None:
    """Return the cheapest path of one generation, or None if there is none.

    Args:
        servers: Engines of the service.
        engine: Their engine profile.
        costs: Cost functions of this generation.
        domain: The entry's own failure domain.
        lost: Incarnations to exclude.
    """
    holders = [
        server
        for server in servers
        if server.layers.count and server.backend_id not in lost
    ]
    return find_path(
        holders,
        layers=engine.layers,
        part_cost=costs.part,
        hop_cost=costs.hop,
        start_cost=lambda first: 0.0 if first == domain else costs.far_start,
    )


def _far_start_ms(engine: EngineProfile) -> float:
    """Return the cost of beginning a path in another failure domain."""
    paces = [kind.pace for kind in engine.accelerators.values()]
    if not paces:
        return FAR_START_MS
    response_ms = engine.usual_answer * engine.step_ms * sum(paces) / len(paces)
    return max(FAR_START_MS, FAR_START_RESPONSES * response_ms)


def kv_cache_capacity(
    engine: EngineProfile, server: BackendServer, size_mb: float
) -> float:
    """Return the KV cache capacity of an engine, in tokens times layers.

    Args:
        engine: Engine profile of the service.
        server: The engine.
        size_mb: Memory of its accelerator, for layers and KV cache together.
    """
    free_mb = size_mb - server.layers.count * engine.layer_mb
    return free_mb * MEGA / (engine.token_bytes / engine.layers)
