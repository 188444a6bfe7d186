"""The work of one request, independent of the agent that will run it."""

__all__ = ["Work", "new_dispatch_id"]

import secrets
from dataclasses import dataclass, field

from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.wire import wire_pb2 as wire

# Length of the random part of a dispatch id.
DISPATCH_ID_RANDOM_BYTES = 10


@dataclass(frozen=True, slots=True)
class Work:
    """A generation or a service call, with its caller and its limits.

    Attributes:
        organisation: Name of the caller's organisation.
        pipeline: Target pipeline; empty for a call to a plain service.
        service: Target plain service; empty for a generation.
        generate: Generation request without its chain; None for a call.
        call: Service call; None for a generation.
        once: Whether the work must run at most once.
        key: Idempotency key of the claim; set when ``once``.
        digest: SHA-256 of method, path and body; set when ``once``.
        fingerprint: Identifies the same work across requests.
        part_keys: Identify the parts of the prompt that other work may share.
        priority: Larger values go first.
        deadline: Time on the clock port, in seconds, at which the whole answer is
            due.
        attempts: Maximum number of dispatches.
        dispatch_ids: Ids of the dispatches so far, for the log.
    """

    organisation: str
    pipeline: str = ""
    service: str = ""
    generate: wire.Generate | None = None
    call: wire.Call | None = None
    once: bool = False
    key: str = ""
    digest: bytes = b""
    fingerprint: bytes = b""
    part_keys: tuple[bytes, ...] = ()
    priority: int = 0
    deadline: float = float("inf")
    attempts: int = 3
    dispatch_ids: list[str] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        """Whether it may be dispatched again after it may have started."""
        return self.generate is not None and not self.once

    def open_message(
        self,
        *,
        dispatch_id: str,
        target: Target,
        chain: wire.Chain | None,
        record: AnswerRecord,
        remaining_s: float,
    ) -> wire.Open:
        """Return the message that opens a dispatch of this work.

        Args:
            dispatch_id: Id of the new dispatch.
            target: Agent that receives it.
            chain: Chain that runs a generation; ignored for a call.
            record: Tokens received so far; the generation continues after them.
            remaining_s: Seconds until the deadline.

        Returns:
            The message.
        """
        message = wire.Open(
            dispatch_id=dispatch_id,
            request_id=dispatch_id,
            organisation=self.organisation,
            agent_incarnation=target.incarnation,
            once=self.once,
            claim_key=self.key if self.once else "",
            priority=self.priority,
            deadline_ms=max(1, int(min(remaining_s, 86400.0) * 1000)),
        )
        if self.call is not None:
            message.call.CopyFrom(self.call)
            return message
        message.generate.CopyFrom(self.generate)
        message.generate.chain.CopyFrom(chain)
        for token_id, text in zip(record.ids, record.texts, strict=True):
            message.generate.prefix.add(id=token_id, text=text)
        return message


def new_dispatch_id(agent_id: str) -> str:
    """Return a new random id that ends with the agent id.

    The suffix lets every entry find the agent that serves the dispatch.
    """
    return f"{secrets.token_hex(DISPATCH_ID_RANDOM_BYTES)}@{agent_id}"
