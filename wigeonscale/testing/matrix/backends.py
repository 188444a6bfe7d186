"""Fake backend servers that record what ran and call hooks at chosen steps."""

__all__ = ["Recorder", "RecordingEngine"]

import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from wigeonscale.ports import EngineResult, EngineStep
from wigeonscale.testing.fake_engine import FakeEngine

Hook = Callable[["Moment"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Moment:
    """A point in the work of a backend server at which a fault may be made.

    Attributes:
        step: ``prefill``, ``decode``, ``order`` or ``call``.
        node: Name of the agent beside the backend server.
        position: Last position of the sequence; 0 for others.
        last_layer: Last layer of the engine; 0 for plain services.
    """

    step: str
    node: str
    position: int = 0
    last_layer: int = 0


@dataclass(slots=True)
class Recorder:
    """What all backend servers did.

    Attributes:
        steps: Records of engines.
        effects: Records of plain services.
        prompts: First pieces of the prompts whose prefill began.
        orders: Orders carried out, by engine.
        hook: Called at each moment, or None.
    """

    steps: list[dict] = field(default_factory=list)
    effects: list[dict] = field(default_factory=list)
    prompts: set[str] = field(default_factory=set)
    hook: Hook | None = None

    async def notify(self, moment: Moment) -> None:
        """Call the hook."""
        if self.hook is not None:
            await self.hook(moment)


class RecordingEngine(FakeEngine):
    """A fake engine that tells the recorder of each step before it runs.

    Args:
        recorder: The recorder.
        **kwargs: As for :class:`FakeEngine`.
    """

    def __init__(self, *, recorder: Recorder, **kwargs):
        super().__init__(trace=recorder.steps.append, **kwargs)
        self._recorder = recorder

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Run one iteration."""
        for step in steps:
            if step.first and self.state.first_layer == 0:
                self._recorder.prompts.add(json.loads(step.hidden)[0])
            await self._recorder.notify(self._moment(step))
        return await super().run(steps)

    async def order(self, **kwargs) -> None:
        """Carry out an order."""
        await self._recorder.notify(Moment(step="order", node=self.name))
        await super().order(**kwargs)

    def _moment(self, step: EngineStep) -> Moment:
        return Moment(
            step="prefill" if step.first else "decode",
            node=self.name,
            position=step.position + step.count - 1,
            last_layer=self.state.last_layer,
        )
