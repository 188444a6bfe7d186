"""Submits commands to the replicated log, forwarding them to the leader if needed."""

__all__ = ["Commands"]

import random
from collections.abc import Sequence

from wigeonscale.adapters.channels import TlsFiles
from wigeonscale.adapters.metrics import METRICS, OK, Metrics
from wigeonscale.control.retry_ledger import RetryLedger
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership.submitter import Submitter
from wigeonscale.ports import Clock
from wigeonscale.replication import NotLeaderError, Replica, Role
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000
FORWARD_TIMEOUT_S = 3.0


class Commands:
    """Submits commands to the replicated log.

    Args:
        replica: Local replica of the log.
        addresses: gRPC addresses of all control replicas.
        clock: Time source.
        rng: Source of jitter; None for one seeded by the operating system.
        metrics: Counts commands.
        tls: Files for mutual TLS, or None for plain TCP.
        retry_ledger: Completes commands that reserve retries; None if entries reserve
            none.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random | None = None,
        metrics: Metrics = METRICS,
        tls: TlsFiles | None = None,
        retry_ledger: RetryLedger | None = None,
    ):
        self._replica = replica
        self._retry_ledger = retry_ledger
        self._clock = clock
        self._metrics = metrics
        self._submitter = Submitter(
            addresses=addresses, clock=clock, rng=rng or random.Random(), tls=tls
        )

    async def close(self) -> None:
        """Close the stream to the leader."""
        await self._submitter.close()

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Set the replicas to which commands are forwarded.

        Args:
            addresses: gRPC addresses of all control replicas.
        """
        self._submitter.set_addresses(addresses)

    async def propose(self, command: wire.Command) -> wire.CommandResult:
        """Commit a command through this replica, which must be the leader.

        Args:
            command: Command; this method sets its timestamp.

        Returns:
            The command's result, which may be a refusal.

        Raises:
            NotLeaderError: This replica is not the leader; nothing was done.
            WigeonscaleError: See :meth:`Replica.propose`.
        """
        name = command.WhichOneof("body") or "none"
        stamped = wire.Command()
        stamped.CopyFrom(command)
        stamped.wall_ms = int(self._clock.wall() * MS_PER_S)
        if self._retry_ledger is not None and self._replica.role is Role.LEADER:
            result = self._retry_ledger.prepare(stamped)
            if result is not None:
                return result
        began = self._clock.now()
        try:
            result = await self._replica.propose(stamped.SerializeToString())
        except WigeonscaleError as exc:
            self._metrics.commands.add(command=name, kind=exc.kind.value)
            raise
        self._metrics.commands.add(command=name, kind=result.kind or OK)
        self._metrics.commit_s.observe(self._clock.now() - began)
        return result

    async def submit(
        self, command: wire.Command, timeout_s: float = FORWARD_TIMEOUT_S
    ) -> wire.CommandResult:
        """Commit a command of this replica, forwarding it to the leader if needed.

        Args:
            command: Command to commit.
            timeout_s: Timeout for forwarding, in seconds.

        Returns:
            The result of the applied command.

        Raises:
            WigeonscaleError: The command was refused, or ``NO_QUORUM``.
        """
        try:
            result = await self.propose(command)
        except NotLeaderError:
            return await self._submitter.submit(command, timeout_s)
        if result.kind:
            raise WigeonscaleError(ErrorKind(result.kind), result.message)
        return result

    async def answer(self, req: wire.SubmitRequest) -> wire.SubmitReply:
        """Handle one request of a Submit stream; never raises ``WigeonscaleError``.

        Args:
            req: Request from the stream.

        Returns:
            Reply with the command's result, or with the reason why it failed.
        """
        leader = ""
        try:
            result = await self.propose(req.command)
        except WigeonscaleError as exc:
            leader = getattr(exc, "leader", "")
            result = wire.CommandResult(kind=exc.kind.value, message=exc.message)
        return wire.SubmitReply(call_id=req.call_id, result=result, leader=leader)
