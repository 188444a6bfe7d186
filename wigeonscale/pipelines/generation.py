"""State of one answer while the head of a chain generates it."""

__all__ = ["Generation"]

from collections.abc import Callable, Sequence

from wigeonscale.errors import WigeonscaleError
from wigeonscale.pipelines.tokens import encode_pieces
from wigeonscale.wire import wire_pb2 as wire


class Generation:
    """State of one sequence across iterations, chains and epochs.

    Every prefill starts a new run with its own sequence id, so that a late message of
    an earlier run cannot affect a later one.

    Args:
        dispatch_id: Id of the dispatch.
        pieces: Pieces of the prompt, then the texts of the tokens already delivered.
        produced: Number of tokens already delivered.
        max_tokens: Maximum number of tokens of the whole answer.
        priority: Priority on the engines; larger values run first.
        on_token: Called with each new token, in order.
        on_end: Called once with the finish reason, ``"stop"`` or ``"length"``.
        on_failed: Called once with the error instead of ``on_end``.
    """

    def __init__(
        self,
        *,
        dispatch_id: str,
        pieces: Sequence[str],
        produced: int,
        max_tokens: int,
        priority: int = 0,
        on_token: Callable[[wire.Token], None],
        on_end: Callable[[str], None],
        on_failed: Callable[[WigeonscaleError], None],
    ):
        self.dispatch_id = dispatch_id
        self.max_tokens = max_tokens
        self.priority = priority
        self.ended = False
        self.paused = False
        self.failing_since: float | None = None
        self.failures = 0
        self._pieces = list(pieces)
        self._produced = produced
        self._initial_count = produced
        self._lost_epochs: set[tuple[str, int]] = set()
        self._run = 1
        self._position = 0
        self._step_end = 0
        self._on_token = on_token
        self._on_end = on_end
        self._on_failed = on_failed

    @property
    def sequence_id(self) -> str:
        """Sequence id of the current run on the engines."""
        return f"{self.dispatch_id}#{self._run}"

    def record_chain_loss(self, chain_id: str, epoch: int) -> int:
        """Record that the chain of this generation was lost.

        Args:
            chain_id: Id of the lost chain.
            epoch: Its epoch.

        Returns:
            Number of epochs lost before the first new token, of all chains; 0 once
            there is one.
        """
        if self._produced > self._initial_count:
            return 0
        self._lost_epochs.add((chain_id, epoch))
        return len(self._lost_epochs)

    @property
    def remaining_positions(self) -> int:
        """Token positions that must be run before the next token."""
        return len(self._pieces) - self._position

    def restart(self) -> str:
        """Start a new run at position 0 and return the sequence id of the old run."""
        old = self.sequence_id
        self._run += 1
        self._position = 0
        return old

    def next_step(self, epoch: int, max_positions: int) -> wire.SequenceStep:
        """Return the next step: a chunk of the prompt, or the next token.

        Args:
            epoch: Epoch of the chain.
            max_positions: Maximum number of positions of the step.
        """
        inputs = self._pieces[self._position : self._position + max_positions]
        self._step_end = self._position + len(inputs)
        is_partial = self._step_end < len(self._pieces)
        return wire.SequenceStep(
            sequence_id=self.sequence_id,
            epoch=epoch,
            position=self._position,
            count=len(inputs),
            attempt=1,
            first=self._position == 0,
            last=not is_partial and self._produced + 1 >= self.max_tokens,
            hidden=encode_pieces(inputs),
            priority=self.priority,
        )

    def apply_result(self, result: wire.StepResult) -> None:
        """Apply the result of the current step; the last token ends the generation.

        The result of a prompt chunk has no token, except for the last chunk.
        """
        self._position = self._step_end
        if self._position < len(self._pieces):
            return
        self._pieces.append(result.token.text)
        self._produced += 1
        self.failing_since = None
        self.failures = 0
        self._on_token(result.token)
        if result.end:
            self._end("stop")
        elif self._produced >= self.max_tokens:
            self._end("length")

    def fail(self, exc: WigeonscaleError) -> None:
        """End the generation with an error, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self._on_failed(exc)

    def _end(self, reason: str) -> None:
        self.ended = True
        self._on_end(reason)
