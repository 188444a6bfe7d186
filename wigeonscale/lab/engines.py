"""Simulated engines that serve generations along paths of layers.

Modelled: KV-cache memory in token-layers (tokens times layers), rejection of prompts
that do not fit, preemption of the newest runs when memory runs out as answers grow, the
slots of the first engine of a path, decode steps that slow down as more requests run,
and prompts that are prefilled one after another.

Not modelled: forward passes and prefill chunks, network links, and the delay of an
engine's own load report.
"""

__all__ = ["SimulatedEngine", "SimulatedRun", "advance", "start", "stop"]

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from wigeonscale.direct.choice import NEAR_HOP_MS, kv_cache_capacity
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.layers import Part
from wigeonscale.routes import EngineProfile

# Slower tokens make an answer late: an event holds about four tokens, and callers
# expect an event every 300 ms.
MAX_TOKEN_INTERVAL_MS = 75.0


@dataclass(slots=True, eq=False, kw_only=True)
class SimulatedRun:
    """One generation in progress.

    Attributes:
        prompt_tokens: Length of the prompt in tokens.
        answer_tokens: Length of the complete answer in tokens.
        parts: Path of the run; empty while none is assigned.
        generated_tokens: Tokens of the answer so far; fractional between two tokens.
        prefill_left_ms: Prefill time left before the next token, in milliseconds.
        is_late: Whether the answer was delayed: a token took too long, or the run was
            preempted or moved after the loss of an engine.
        is_preempted: Whether the run was preempted and waits for memory.
        first_token_at: Time of the first token, in seconds; None before it.
    """

    prompt_tokens: int
    answer_tokens: int
    parts: tuple[Part, ...] = ()
    generated_tokens: float = 0.0
    prefill_left_ms: float = 0.0
    is_late: bool = False
    is_preempted: bool = False
    first_token_at: float | None = None

    @property
    def tokens(self) -> float:
        """Tokens of the run in the KV cache."""
        return self.prompt_tokens + self.generated_tokens


@dataclass(slots=True, eq=False, kw_only=True)
class SimulatedEngine:
    """Memory and timing of one engine.

    Args:
        server: The engine as the router knows it.
        profile: Sizes and times of the served model.

    Attributes:
        runs: Number of layers for each run that holds memory here, in order of arrival.
        capacity: Memory for requests, in token-layers.
        is_lost: Whether the engine has failed and has not recovered.
    """

    server: BackendServer
    profile: EngineProfile
    runs: dict[SimulatedRun, int] = field(default_factory=dict)
    is_lost: bool = False
    capacity: float = field(init=False)

    def __post_init__(self):
        accelerator = self.profile.accelerators[self.server.accelerator]
        self.capacity = kv_cache_capacity(
            self.profile, self.server, accelerator.size_mb
        )

    @property
    def used(self) -> float:
        """Memory in use, in token-layers."""
        return sum(run.tokens * layers for run, layers in self.runs.items())

    def can_accept(self, run: SimulatedRun, layers: int) -> bool:
        """Return whether the run fits into memory on that many layers now."""
        return not self.is_lost and self.used + run.tokens * layers <= self.capacity

    def token_ms(self, layers: int) -> float:
        """Return the decode time of one token in that many layers, in milliseconds."""
        accelerator = self.profile.accelerators[self.server.accelerator]
        context = sum(run.tokens for run in self.runs) / 1000.0
        step_ms = (
            self.profile.step_ms
            + self.profile.sequence_ms * len(self.runs)
            + self.profile.context_ms * context
        )
        return accelerator.pace * step_ms * layers / self.profile.layers + NEAR_HOP_MS

    def prefill_ms(self, tokens: float, layers: int) -> float:
        """Return the prefill time of a prompt in that many layers, in milliseconds."""
        accelerator = self.profile.accelerators[self.server.accelerator]
        alone_ms = 1000.0 * tokens / self.profile.read_tokens_per_s
        prefilling = sum(run.prefill_left_ms > 0 for run in self.runs)
        share = layers / self.profile.layers
        return accelerator.read_factor * alone_ms * share * (1 + prefilling)

    def preempt_newest(self) -> list[SimulatedRun]:
        """Preempt the newest runs until the others fit; return the preempted runs."""
        preempted = []
        while self.used > self.capacity:
            run = next(reversed(self.runs))
            del self.runs[run]
            preempted.append(run)
        return preempted


def start(
    run: SimulatedRun, parts: Sequence[Part], engines: Mapping[str, SimulatedEngine]
) -> str | None:
    """Start a run along a path.

    Args:
        run: The run; the path is assigned to it even if an engine refuses it.
        parts: Path of the run.
        engines: All engines by backend id.

    Returns:
        Backend id of the engine that refused the run, in which case no engine holds
        memory for it; None if the run started.
    """
    run.parts = tuple(parts)
    for part in run.parts:
        if not engines[part.backend_id].can_accept(run, part.layers.count):
            return part.backend_id
    first_engine = engines[run.parts[0].backend_id]
    if len(first_engine.runs) >= first_engine.profile.slots:
        return first_engine.server.backend_id
    run.prefill_left_ms = sum(
        engines[part.backend_id].prefill_ms(run.tokens, part.layers.count)
        for part in run.parts
    )
    for part in run.parts:
        engines[part.backend_id].runs[run] = part.layers.count
    return None


def stop(run: SimulatedRun, engines: Mapping[str, SimulatedEngine]) -> None:
    """Free the memory of a run on all engines of its path."""
    for part in run.parts:
        engines[part.backend_id].runs.pop(run, None)


def advance(
    runs: Iterable[SimulatedRun],
    engines: Mapping[str, SimulatedEngine],
    *,
    now: float,
    step_s: float,
) -> tuple[list[SimulatedRun], int]:
    """Advance all runs by one time step.

    Args:
        runs: Runs that have a path.
        engines: All engines by backend id.
        now: Time at the end of the step, in seconds.
        step_s: Length of the step, in seconds.

    Returns:
        The completed runs, and the number of runs preempted in this step.

    Notes:
        Takes time proportional to the number of runs times the parts of their paths.
    """
    done = []
    token_ms: dict[tuple[str, int], float] = {}

    def part_token_ms(part: Part) -> float:
        key = part.backend_id, part.layers.count
        if key not in token_ms:
            token_ms[key] = engines[part.backend_id].token_ms(part.layers.count)
        return token_ms[key]

    for run in runs:
        left_ms = step_s * 1000.0
        if run.is_preempted and not _resume(run, engines):
            continue
        prefill_now_ms = min(run.prefill_left_ms, left_ms)
        run.prefill_left_ms -= prefill_now_ms
        left_ms -= prefill_now_ms
        if left_ms <= 0:
            continue
        path_token_ms = sum(part_token_ms(part) for part in run.parts)
        run.is_late = run.is_late or path_token_ms > MAX_TOKEN_INTERVAL_MS
        run.generated_tokens += left_ms / path_token_ms
        if run.first_token_at is None and run.generated_tokens >= 1:
            run.first_token_at = now
        if run.generated_tokens >= run.answer_tokens:
            done.append(run)
    for run in done:
        stop(run, engines)
    return done, _preempt_where_full(engines)


def _preempt_where_full(engines: Mapping[str, SimulatedEngine]) -> int:
    """Preempt the newest runs of engines out of memory; return how many."""
    count = 0
    for engine in engines.values():
        for run in engine.preempt_newest():
            stop(run, engines)
            run.is_preempted = True
            run.is_late = True
            count += 1
    return count


def _resume(run: SimulatedRun, engines: Mapping[str, SimulatedEngine]) -> bool:
    if start(run, run.parts, engines) is not None:
        return False
    run.is_preempted = False
    return True
