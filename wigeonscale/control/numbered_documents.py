"""Stores numbered documents and reads the one in force."""

__all__ = ["NumberedDocuments"]

import logging

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.commands import Commands
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

CONFIRM_INTERVAL_S = 0.02

logger = logging.getLogger(__name__)


class NumberedDocuments:
    """Writes and reads the numbered document through one control replica.

    Args:
        state: Replicated state.
        replica: Local replica of the log.
        commands: Submits commands to the replicated log.
        clock: Time source.
        answer_s: Timeout for confirmation by a majority, in seconds.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        replica: Replica,
        commands: Commands,
        clock: Clock,
        answer_s: float,
    ):
        self._state = state
        self._replica = replica
        self._commands = commands
        self._clock = clock
        self._answer_s = answer_s

    async def put(self, number: int, content: bytes) -> None:
        """Put a document in force unless one with a higher number is.

        Returns once the document is durable.

        Args:
            number: Version number assigned by the document's author.
            content: Compressed document.

        Raises:
            WigeonscaleError: ``NO_QUORUM``; the document may still take effect later.
        """
        document = wire.NumberedDocument(number=number, content=content)
        await self._commands.submit(wire.Command(put_document=document), self._answer_s)
        logger.info(
            "document %d is durable",
            number,
            extra=log_fields(outcome="acknowledged", held=self._state.document.number),
        )

    async def newest(self) -> wire.NumberedDocument:
        """Return the document in force, confirmed by a majority after this call began.

        Raises:
            WigeonscaleError: ``NO_QUORUM`` if no majority confirmed the state in time.
        """
        asked_at = self._clock.now()
        while not self._is_confirmed_since(asked_at):
            if self._clock.now() - asked_at > self._answer_s:
                raise WigeonscaleError(
                    ErrorKind.NO_QUORUM,
                    f"no majority confirmed the state within {self._answer_s:g} s",
                )
            await self._clock.sleep(CONFIRM_INTERVAL_S)
        return self._state.document.message()

    def _is_confirmed_since(self, at: float) -> bool:
        fresh_at = self._replica.fresh_at()
        return fresh_at is not None and fresh_at >= at
