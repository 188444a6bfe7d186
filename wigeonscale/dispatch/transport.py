"""Dispatches put on links, with their share of the load counted."""

__all__ = ["DispatchTransport"]

from wigeonscale.dispatch.links import AgentLinks
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.errors import ErrorKind
from wigeonscale.routing import LoadTable


class DispatchTransport:
    """Puts dispatches on links and takes them off, each counted once.

    Args:
        links: Connections to agents.
        table: Load of the agents.
    """

    def __init__(self, *, links: AgentLinks, table: LoadTable):
        self._links = links
        self._table = table

    def add_stream(self, stream: DispatchStream) -> None:
        """Open a dispatch, or take it up, at its agent."""
        self._links.add_stream(stream)
        self._table.started(stream.target.agent_id, stream.organisation)
        stream.counted = True

    def attach(
        self, target: Target, dispatch_id: str, organisation: str, from_token: int = 0
    ) -> DispatchStream:
        """Return a dispatch opened by someone, taken up from a token index."""
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=target,
            organisation=organisation,
            record=AnswerRecord(base=from_token),
        )
        self.add_stream(stream)
        return stream

    async def seal(self, target: Target, dispatch_id: str) -> bool:
        """Seal a dispatch opened by someone.

        Returns:
            True when it surely never began and never will; False when it began.

        Raises:
            AgentGoneError: When that cannot be learnt.
        """
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=target,
            organisation="",
            record=AnswerRecord(),
            seal_only=True,
        )
        self.add_stream(stream)
        try:
            return await stream.seal()
        finally:
            self.drop(stream)

    def drop(self, stream: DispatchStream, *, cancel: bool = False) -> None:
        """Leave a dispatch; further calls do nothing.

        Args:
            stream: The dispatch.
            cancel: Tell the agent that nobody wants the answer.
        """
        if not stream.counted:
            return
        stream.counted = False
        if cancel:
            stream.cancel()
        stream.detach()
        self._table.finished(stream.target.agent_id, stream.organisation)
        self._count_outcome(stream)

    def _count_outcome(self, stream: DispatchStream) -> None:
        agent_id = stream.target.agent_id
        if stream.done is not None or stream.response is not None:
            self._table.succeeded(agent_id)
        elif stream.error is not None:
            if stream.error.kind is ErrorKind.BACKEND_FAILED:
                self._table.failed(agent_id)

    async def wait_begun(self, stream: DispatchStream) -> None:
        """Wait until a dispatch has begun; drop it when it failed before.

        Raises:
            WigeonscaleError: The error that ended it before its first token.
        """
        await stream.wait_begun()
        if stream.error is not None and not stream.has_unread:
            self.drop(stream)
            raise stream.error
