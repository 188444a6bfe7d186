"""Ports to a backend server behind an agent: a model engine or a plain service."""

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
    """Properties and state that an engine reports.

    Attributes:
        model: Model whose layers it can hold.
        accelerator: Type of accelerator.
        layer_rate: Layer steps per second over all sequences.
        layer_capacity: Number of layers that fit in its memory.
        slots: Maximum number of sequences in a batch.
        checks_fencing: Whether it rejects orders with an outdated fencing token.
        first_layer: First loaded layer, inclusive.
        last_layer: Last loaded layer, inclusive; less than the first for none.
        version: Loaded model version.
        adapters: Loaded adapters.
        leaving: Whether it has announced that it shuts down.
        link_rate: Steps per second that its network link carries.
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
        first: Whether the step starts (or restarts) the sequence on this engine.
        hidden: Input: UTF-8 text on the first stage, hidden state otherwise.
        priority: Steps with larger values run first if not all fit.
        first_layer: First layer to run.
        last_layer: Last layer to run, or -1 for all loaded layers. The engine returns
            an error for the step if it holds a different range.
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
        token_id: Id of the token from the last stage, else None.
        token_text: Text of the token.
        end: Whether the token ends the sequence.
        error: Reason why the step failed; empty if it succeeded.
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
    """Load that the engine reports, with a delay.

    Attributes:
        running: Sequences in progress.
        queued: Sequences that wait.
        cached_prefixes: Prompt prefixes in the engine's cache.
    """

    running: int
    queued: int
    cached_prefixes: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report of an engine that it stored or evicted a prompt prefix.

    Attributes:
        number: Sequence number; increases by one per event since the engine started.
        prefix: Id that the engine gives the prefix.
        held: True when stored, False when evicted.
        sequence_id: Sequence that stored it; empty for an eviction.
    """

    number: int
    prefix: str
    held: bool
    sequence_id: str = ""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Engine(Protocol):
    """A model engine that holds a contiguous range of layers."""

    async def info(self) -> EngineInfo:
        """Return the properties and state of the engine."""

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Run one iteration and return one result per step, in order."""

    async def cancel(self, sequence_ids: Sequence[str]) -> None:
        """Drop sequences and free their KV cache."""

    async def export_cache(self, sequence_id: str) -> bytes:
        """Return the KV cache of a sequence."""

    async def import_cache(self, sequence_id: str, epoch: int, cache: bytes) -> None:
        """Install a KV cache exported by another engine with the same layers."""

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, with a delay."""

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events numbered above ``after``; some may be missing."""

    async def order(
        self, *, term: int, sequence: int, action: str, args: dict[str, object]
    ) -> None:
        """Send an order: ``load`` (model, version, adapter, layers) or ``role``.

        Args:
            term: Term of the leader; first part of the fencing token.
            sequence: Number of the order; second part of the fencing token.
            action: Name of the order.
            args: Arguments of the order.

        Raises:
            WigeonscaleError: ``STALE_TERM`` if an engine that checks fencing tokens has
                seen a higher one.
        """


class Service(Protocol):
    """A plain HTTP service."""

    async def probe(self) -> None:
        """Check that the service accepts connections.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED`` if it does not.
        """

    async def call(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        timeout_s: float = 60.0,
    ) -> HttpResponse:
        """Send one request and return its response.

        Args:
            method: HTTP method.
            path: Path with query, encoded.
            headers: Names and values.
            body: Request body.
            timeout_s: Maximum duration of the whole call, in seconds.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED``, with run state ``NOT_RUN`` only if no
                connection was opened.
        """
