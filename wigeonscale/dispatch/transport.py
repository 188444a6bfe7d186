"""Transport of dispatches to agents, with load accounting."""

__all__ = ["DispatchTransport"]

from wigeonscale.dispatch.links import AgentLinks
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.errors import ErrorKind
from wigeonscale.routing import LoadTable


class DispatchTransport:
    """Sends dispatches over links and counts each once in the load table.

    Args:
        links: Connections to agents.
        table: Load of the agents.
    """

    def __init__(self, *, links: AgentLinks, table: LoadTable):
        self._links = links
        self._table = table

    def add_stream(self, stream: DispatchStream) -> None:
        """Open a dispatch at its agent, or attach to it."""
        self._links.add_stream(stream)
        self._table.started(stream.target.agent_id, stream.organisation)
        stream.counted = True

    def attach(
        self, target: Target, dispatch_id: str, organisation: str, from_token: int = 0
    ) -> DispatchStream:
        """Attach to a dispatch that is already open, from a token index on."""
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=target,
            organisation=organisation,
            record=AnswerRecord(base=from_token),
        )
        self.add_stream(stream)
        return stream

    async def seal(self, target: Target, dispatch_id: str) -> bool:
        """Seal a dispatch, so that the agent will not start it from now on.

        Returns:
            True when it never started and never will; False when it has started.

        Raises:
            AgentGoneError: When the agent cannot be asked.
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
        """Detach from a dispatch; further calls do nothing.

        Args:
            stream: The dispatch.
            cancel: Whether to tell the agent to cancel the work.
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
        """Wait until a dispatch has begun; drop it when it failed before that.

        Raises:
            WigeonscaleError: Error that ended it before its first token.
        """
        await stream.wait_begun()
        if stream.error is not None and not stream.has_unread:
            self.drop(stream)
            raise stream.error
