"""Fake backend servers that record their work and call a hook before each step."""

__all__ = ["Recorder", "RecordingEngine"]

import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from wigeonscale.ports import EngineResult, EngineStep
from wigeonscale.testing.fake_engine import FakeEngine

Hook = Callable[["Moment"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Moment:
    """A point in the execution of a backend server at which a fault can be injected.

    Attributes:
        step: ``prefill``, ``decode``, ``order`` or ``call``.
        node: Name of the agent of the backend server.
        position: Last position of the step; 0 for orders and calls.
        last_layer: Last loaded layer of the engine; 0 for orders and calls.
    """

    step: str
    node: str
    position: int = 0
    last_layer: int = 0


@dataclass(slots=True)
class Recorder:
    """Records the work of all backend servers.

    Attributes:
        steps: Trace records of engines.
        effects: Trace records of plain services.
        prompts: First pieces of the prompts whose prefill started at layer 0.
        hook: Awaited at each moment, or None.
    """

    steps: list[dict] = field(default_factory=list)
    effects: list[dict] = field(default_factory=list)
    prompts: set[str] = field(default_factory=set)
    hook: Hook | None = None

    async def notify(self, moment: Moment) -> None:
        """Await the hook, if there is one."""
        if self.hook is not None:
            await self.hook(moment)


class RecordingEngine(FakeEngine):
    """A fake engine that notifies the recorder before each step and order.

    Args:
        recorder: Receives trace records and moments.
        **kwargs: As for :class:`FakeEngine`.
    """

    def __init__(self, *, recorder: Recorder, **kwargs):
        super().__init__(trace=recorder.steps.append, **kwargs)
        self._recorder = recorder

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Notify the recorder of each step, then run one iteration."""
        for step in steps:
            if step.first and self.state.first_layer == 0:
                self._recorder.prompts.add(json.loads(step.hidden)[0])
            await self._recorder.notify(self._moment(step))
        return await super().run(steps)

    async def order(self, **kwargs) -> None:
        """Notify the recorder, then carry out an order."""
        await self._recorder.notify(Moment(step="order", node=self.name))
        await super().order(**kwargs)

    def _moment(self, step: EngineStep) -> Moment:
        return Moment(
            step="prefill" if step.first else "decode",
            node=self.name,
            position=step.position + step.count - 1,
            last_layer=self.state.last_layer,
        )
