"""A model of engines that serve generations along paths of layers.

What it has: memory in tokens times layers, refusals where a prompt does not fit, the
newest put back where memory runs out while answers grow, slots of the first engine,
steps that take longer the more requests run, prompts that are read one after another.
What it leaves out: passes and chunks, links, and the lag of an engine's own report.
"""

__all__ = ["SimulatedEngine", "SimulatedRun", "advance", "start", "stop"]

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from wigeonscale.direct.choice import NEAR_HOP_MS, kv_cache_capacity
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.layers import Part
from wigeonscale.routes import EngineProfile

# A run whose next token takes this long has a pause that its caller finds too long:
# events hold some four tokens and are wanted every 300 ms.
MAX_TOKEN_INTERVAL_MS = 75.0


@dataclass(slots=True, eq=False, kw_only=True)
class SimulatedRun:
    """One generation on its way.

    Attributes:
        prompt: Tokens of its prompt.
        answer: Tokens of its answer.
        parts: Its path; empty while it has none.
        written: Tokens of the answer so far.
        prefill_now_ms: Time of reading that is left before the next token.
        is_late: Whether a pause was too long.
        is_preempted: Whether it was put back and waits for memory.
        first_token_at: Instant of its first token; None before it.
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
        """Tokens that it holds in memory."""
        return self.prompt_tokens + self.generated_tokens


@dataclass(slots=True, eq=False, kw_only=True)
class SimulatedEngine:
    """One engine.

    Args:
        server: What the router knows of it.
        profile: Sizes and times of its model.

    Attributes:
        runs: Runs that hold memory here, and their layers, in order of arrival.
        room: Memory for requests, in tokens times layers.
        is_lost: Whether it is gone.
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
        """Memory taken, in tokens times layers."""
        return sum(run.tokens * layers for run, layers in self.runs.items())

    def can_accept(self, run: SimulatedRun, layers: int) -> bool:
        """Return whether it takes a run in now."""
        return not self.is_lost and self.used + run.tokens * layers <= self.capacity

    def token_ms(self, layers: int) -> float:
        """Return the time of one token in so many layers."""
        accelerator = self.profile.accelerators[self.server.accelerator]
        context = sum(run.tokens for run in self.runs) / 1000.0
        step_ms = (
            self.profile.step_ms
            + self.profile.sequence_ms * len(self.runs)
            + self.profile.context_ms * context
        )
        return accelerator.pace * step_ms * layers / self.profile.layers + NEAR_HOP_MS

    def prefill_ms(self, tokens: float, layers: int) -> float:
        """Return the time to read a prompt in so many layers."""
        accelerator = self.profile.accelerators[self.server.accelerator]
        alone_ms = 1000.0 * tokens / self.profile.read_tokens_per_s
        prefilling = sum(run.prefill_left_ms > 0 for run in self.runs)
        share = layers / self.profile.layers
        return accelerator.read_factor * alone_ms * share * (1 + prefilling)

    def preempt_newest(self) -> list[SimulatedRun]:
        """Take memory from the newest runs until the others fit; return those."""
        preempted = []
        while self.used > self.capacity:
            run = next(reversed(self.runs))
            del self.runs[run]
            preempted.append(run)
        return preempted


def start(
    run: SimulatedRun, parts: Sequence[Part], engines: Mapping[str, SimulatedEngine]
) -> str | None:
    """Begin a run along a path.

    Args:
        run: It takes the path, also where it is refused.
        parts: Its path.
        engines: All engines by name.

    Returns:
        The engine that refused it, and nothing was begun; None where it runs.
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
    """Free the memory of a run."""
    for part in run.parts:
        engines[part.backend_id].runs.pop(run, None)


def advance(
    runs: Iterable[SimulatedRun],
    engines: Mapping[str, SimulatedEngine],
    *,
    now: float,
    step_s: float,
) -> tuple[list[SimulatedRun], int]:
    """Let time pass.

    Args:
        runs: Runs that have a path.
        engines: All engines by name.
        now: Instant at the end of the step.
        step_s: Length of the step, in seconds.

    Returns:
        Runs that are done, and how many were put back.

    Notes:
        Costs runs times parts.
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
    """Put back the newest runs where memory ran out; return how many."""
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
