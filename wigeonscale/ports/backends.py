"""The ports to a backend server: a model engine or a plain service."""

__all__ = [
    "CacheEvent",
    "Engine",
    "EngineInfo",
    "EngineLoad",
    "EngineResult",
    "EngineStep",
    "HttpResponse",
    "Service",
]

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class EngineInfo:
    """What an engine says of itself.

    Attributes:
        model: Model whose layers it can hold.
        accelerator: Kind of accelerator.
        layer_rate: Layer-steps per second over all sequences.
        layer_capacity: Layers that fit in its memory.
        slots: Sequences it batches at once.
        checks_fencing: Whether it refuses orders with an old fencing number.
        first_layer: First loaded layer, inclusive.
        last_layer: Last loaded layer, inclusive; less than the first for none.
        version: Loaded model version.
        adapters: Loaded adapters.
        leaving: Whether it announced that it leaves.
        link_rate: Steps per second that its link carries.
    """

    model: str
    accelerator: str = "generic"
    layer_rate: float = 1000.0
    layer_capacity: int = 8
    slots: int = 32
    checks_fencing: bool = True
    first_layer: int = 0
    last_layer: int = -1
    version: str = ""
    adapters: tuple[str, ...] = ()
    leaving: bool = False
    link_rate: float = 10000.0


@dataclass(frozen=True, slots=True)
class EngineStep:
    """One sequence of one engine iteration.

    Attributes:
        sequence_id: Sequence the step belongs to.
        epoch: Epoch of the sequence's chain.
        position: First token position of the step.
        count: Number of token positions, more than 1 at prefill.
        first: Begins (or begins again) the sequence on this engine.
        hidden: Input: UTF-8 text on the first stage, hidden state otherwise.
        priority: Larger goes first where the engine must choose.
        first_layer: First layer meant to run.
        last_layer: Last layer meant to run, or -1 for whatever is loaded. The
            engine answers the step by an error when it holds another range.
    """

    sequence_id: str
    epoch: int
    position: int
    count: int
    first: bool
    hidden: bytes
    priority: int = 0
    first_layer: int = 0
    last_layer: int = -1


@dataclass(frozen=True, slots=True)
class EngineResult:
    """Result of one :class:`EngineStep`.

    Attributes:
        sequence_id: Sequence of the step.
        position: Position of the step.
        hidden: Hidden state for the next stage; empty from the last stage.
        token_id: Token from the last stage, else None.
        token_text: Text of the token.
        end: Whether the token ends the sequence.
        error: Empty, or why the step failed.
    """

    sequence_id: str
    position: int
    hidden: bytes = b""
    token_id: int | None = None
    token_text: str = ""
    end: bool = False
    error: str = ""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The engine's own, lagging, report of its load."""

    running: int
    queued: int
    cached_prefixes: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine's report that it stored or evicted a prompt prefix.

    Attributes:
        number: Grows by one per event since the engine started.
        prefix: The engine's own name of the prefix.
        held: True when stored, False when evicted.
        sequence_id: Sequence that stored it; empty for an eviction.
    """

    number: int
    prefix: str
    held: bool
    sequence_id: str = ""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Engine(Protocol):
    """A model engine that holds a contiguous range of layers."""

    async def info(self) -> EngineInfo:
        """Return what the engine says of itself."""

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Run one iteration and return one result per step, in order."""

    async def cancel(self, sequence_ids: Sequence[str]) -> None:
        """Forget sequences and free their cache."""

    async def export_cache(self, sequence_id: str) -> bytes:
        """Return the KV cache of a sequence."""

    async def import_cache(self, sequence_id: str, epoch: int, cache: bytes) -> None:
        """Install a KV cache exported by another engine with the same layers."""

    async def load(self) -> EngineLoad:
        """Return the engine's load report; it lags."""

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events with a number above ``after``; gaps happen."""

    async def order(
        self, *, term: int, sequence: int, action: str, args: dict[str, object]
    ) -> None:
        """Carry out an order: ``load`` (model, version, adapter, layers) or ``role``.

        Raises:
            WigeonscaleError: ``STALE_TERM`` from an engine that checks fencing.
        """


class Service(Protocol):
    """A plain HTTP service."""

    async def probe(self) -> None:
        """Return when the service takes connections.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED`` when it does not.
        """

    async def call(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        timeout_s: float = 60.0,
    ) -> HttpResponse:
        """Make one call and return its answer.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED``, with run state ``NOT_RUN`` only
                when no connection was made.
        """
