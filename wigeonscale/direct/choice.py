"""Where a request goes: decisions on plain data, without input or output."""

__all__ = [
    "PathCosts",
    "choose_path",
    "choose_server",
    "path_costs",
    "kv_cache_capacity",
]

import math
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass

from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.layers import Part, find_path
from wigeonscale.ports.exchange import Generation
from wigeonscale.routes import EngineProfile

# Load pattern: servers of one service differ little and are mostly idle, so a server
# of the own domain is taken until it is half full; what crosses domains is priced and
# takes a millisecond more.
OTHER_DOMAIN_PENALTY = 0.5
# A server that fails half of its requests counts like one that is full twice over.
FAILURE_RATE_PENALTY = 4.0
# Asked only when nobody else is left.
LAST_RESORT_PENALTY = 1000.0

# Delay of each token between engines of one domain, in ms; the one between domains is
# told.
NEAR_HOP_MS = 0.1
MEGA = 1e6
BITS_PER_BYTE = 8
# Where a path begins does not matter to the engines, but what the caller gets crosses
# domains then. Load pattern: one domain has the fastest engines, and the entries of all
# others crowd into it, each on word that is half a second old, while their own engines
# stand idle. So another domain is taken only where the own one is full, or takes
# longer by the time of this many usual answers on engines of mean pace, and this time
# at least: engines refuse the less of a rush, the dearer it is to begin far away.
FAR_START_ANSWERS = 4.0
FAR_START_MS = 300.0
# A hop inside a path sends a prompt's activations over the link that all domains
# share, 45 MB each. It is for the time in which no domain is whole; where one is, but
# full, a request is better told to come back than sent along a path that crosses, so
# that it costs more than the longest path of full engines.
FAR_HOP_BASE_MS = 1_000_000.0
# Costs beside which times of work do not count, in ms: an engine without room
# preempts or refuses; one that is avoided stalls the request for seconds.
# A path with slow engines costs seconds more than a sound one and is still better than
# none; so full engines cost more than any slow ones.
FULL_PENALTY_MS = 20_000.0
AVOIDED_PENALTY_MS = 10_000_000.0
# Share of an engine's memory for requests above which it counts as full. Over 1, since
# a request is counted at its final size, which few have at any moment; no higher, since
# engines refuse the more sends.
FULL_SHARE = 1.1


def choose_server(
    servers: Sequence[BackendServer],
    *,
    tracker: BackendTracker,
    domain: str,
    entries: int,
    tried: Container[str] = (),
) -> BackendServer | None:
    """Return the backend server of a plain service for one send, or None.

    Args:
        servers: Those of the service.
        tracker: What is known of them.
        domain: The entry's own failure domain.
        entries: Entries that send alike.
        tried: Names of incarnations that this request was sent to already.
    """

    def rank(server: BackendServer) -> tuple[float, str]:
        running, _ = tracker.load_of(server.backend_id, entries)
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
    """Costs of a path in milliseconds of the whole request.

    Attributes:
        part: Cost of running so many layers on an engine.
        hop: Cost of going from one failure domain to another.
        token: Time of one token on an engine that runs so many layers.
        has_capacity: Whether an engine holds one more request of usual size in so many
            of its layers.
        far_start: Cost of beginning in another failure domain than the entry's own.
    """

    part: Callable[[BackendServer, int], float]
    hop: Callable[[str, str], float]
    token: Callable[[BackendServer, int], float]
    has_capacity: Callable[[BackendServer, int], bool]
    far_start: float


@dataclass(frozen=True, slots=True)
class _EngineCosts:
    """What the costs of one engine are made of.

    Attributes:
        token_ms: Time of one token in one layer.
        layer_ms: Cost of one layer for the whole request.
        fixed_ms: Cost whatever the layers.
        max_layers: Layers in which it has room for one more request of usual size.
    """

    token_ms: float
    layer_ms: float
    fixed_ms: float
    max_layers: float


def path_costs(
    engine: EngineProfile,
    generation: Generation,
    *,
    tracker: BackendTracker,
    entries: int,
) -> PathCosts:
    """Return the costs of one generation.

    Args:
        engine: What its engines need.
        generation: Sizes of the request.
        tracker: What is known of the engines.
        entries: Entries that send alike: what the others have in progress is
            inferred from what this one has.

    Notes:
        A token passes all engines one after another, so the times of the parts add
        up. An engine works for all its requests in passes; the more there are, the
        longer each takes.
    """
    prompt = generation.prompt or engine.usual_prompt
    answer = generation.expected or engine.usual_answer
    tokens = prompt + answer
    # The same for every request: judged by its own size, a large one would be turned
    # away far more often than a small one.
    usual_tokens = engine.usual_prompt + engine.usual_answer
    prefill_ms = 1000.0 * prompt / engine.read_tokens_per_s
    transfer_ms = (
        1000.0
        * prompt
        * engine.activation_bytes
        * BITS_PER_BYTE
        / (engine.pipe_mbps * MEGA)
        if engine.pipe_mbps
        else 0.0
    )

    cache: dict[str, _EngineCosts] = {}

    def costs_of(server: BackendServer) -> _EngineCosts:
        # Kept, since a choice asks for each range of layers that a path may take on an
        # engine, some hundred times.
        costs = cache.get(server.backend_id)
        if costs is None:
            costs = cache[server.backend_id] = engine_costs(server)
        return costs

    def engine_costs(server: BackendServer) -> _EngineCosts:
        kind = engine.accelerators.get(server.accelerator)
        if kind is None:
            return _EngineCosts(0.0, 0.0, AVOIDED_PENALTY_MS, -1.0)
        others, used = tracker.load_of(server.backend_id, entries)
        step_ms = (
            engine.step_ms
            + engine.sequence_ms * (others + 1)
            + engine.context_ms * others * tokens / 1000.0
        )
        # Load pattern: some engines work many times slower than usual, and the passes
        # of all paths through them wait for them.
        token_ms = server.slowness * kind.pace * step_ms / engine.layers
        loaded_prefill_ms = kind.read_factor * prefill_ms * (1 + others / 8)
        is_avoided = server.is_silent or tracker.is_avoided(server.backend_id)
        free = FULL_SHARE * kv_cache_capacity(engine, server, kind.size_mb) - used
        # Load pattern: all requests of a domain pass few first engines, which run as
        # many as they have slots and let the others wait, whatever their memory.
        if server.layers.first == 0 and engine.slots and others >= engine.slots:
            free = -1.0
        return _EngineCosts(
            token_ms,
            token_ms * answer + server.slowness * loaded_prefill_ms / engine.layers,
            NEAR_HOP_MS * answer + (AVOIDED_PENALTY_MS if is_avoided else 0.0),
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
        return FAR_HOP_BASE_MS + engine.delay_ms(here, there) * answer + transfer_ms

    return PathCosts(part, hop, token, has_capacity, _far_start_ms(engine))


def choose_path(
    servers: Sequence[BackendServer],
    engine: EngineProfile,
    costs: PathCosts,
    *,
    domain: str,
    lost: Container[str] = (),
) -> list[Part] | None:
    """Return the path of one generation, or None when there is none.

    Args:
        servers: Engines of the service.
        engine: What they need.
        costs: Costs of this generation.
        domain: The entry's own failure domain.
        lost: Names of incarnations that must not be on it.
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
    """Return the cost of beginning in another failure domain."""
    paces = [kind.pace for kind in engine.accelerators.values()]
    if not paces:
        return FAR_START_MS
    answer_ms = engine.usual_answer * engine.step_ms * sum(paces) / len(paces)
    return max(FAR_START_MS, FAR_START_ANSWERS * answer_ms)


def kv_cache_capacity(
    engine: EngineProfile, server: BackendServer, size_mb: float
) -> float:
    """Return the tokens times layers that an engine has memory for."""
    free_mb = size_mb - server.layers.count * engine.layer_mb
    return free_mb * MEGA / (engine.token_bytes / engine.layers)
