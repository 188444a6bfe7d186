"""One run of one cell: a fault at a step, followed by the checks."""

__all__ = ["Trial", "wait_until_ready"]

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable

from wigeonscale.errors import RunState
from wigeonscale.testing.matrix import checks
from wigeonscale.testing.matrix.backends import Moment
from wigeonscale.testing.matrix.cluster import (
    ENGINES,
    LAYERS,
    SERVICES,
    Cluster,
    wait_until,
)
from wigeonscale.testing.matrix.duplication import Duplicator
from wigeonscale.testing.matrix.faults import Fault
from wigeonscale.testing.matrix.load import (
    Answer,
    Outcome,
    apply_rules,
    post_to,
    request_completion,
    resume_completion,
    rules_body,
    send_note,
)
from wigeonscale.testing.matrix.watch import RevisionWatch
from wigeonscale.testing.traces import Violation, layer_order_violations
from wigeonscale.wire import wire_pb2 as wire

LEASE_EXPIRED_AFTER_S = 3.5
RECOVERY_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.2
ORGANISATION = "matrix"
STAGES = ("head", "middle", "last")


async def wait_until_ready(cluster: Cluster) -> None:
    """Wait until every node is a ready member and a pipeline serves."""
    await wait_until(cluster.leader, "a leader")
    for node in cluster.controls.values():
        await _wait_control_ready(node)
    for node in [*cluster.agents.values(), *cluster.entries.values()]:
        await wait_until(node.control.lease_valid, f"lease of {node.name}")
    for node in cluster.agents.values():
        is_member = functools.partial(_is_member, cluster, node)
        await wait_until(is_member, f"{node.name} as a member")
    await wait_until(cluster.ready_stages, "a ready chain")
    for entry in cluster.entries.values():
        is_current = functools.partial(_has_current_members, cluster, entry)
        await wait_until(is_current, f"{entry.name} to learn the chain")


async def _wait_control_ready(node) -> None:
    replica = node.daemon.replica
    await wait_until(node.daemon.is_ready, f"{node.name} to be up to date")
    # A replica that lost its disk is being rebuilt until it may vote.
    await wait_until(lambda: replica.may_vote, f"{node.name} to be admitted")


def _is_member(cluster: Cluster, node) -> bool:
    leader = cluster.leader()
    member = leader.daemon.state.members.get(node.name) if leader else None
    if member is None or member.backend.incarnation != node.state.incarnation:
        return False
    shown = leader.daemon.state.members.effective(node.name)
    return not shown.draining and not node.state.leaving


def _has_current_members(cluster: Cluster, entry) -> bool:
    leader = cluster.leader()
    if leader is None:
        return False
    leader_chains = {c.chain_id: (c.epoch, c.ready) for c in leader.daemon.state.chains}
    entry_chains = {
        c.chain_id: (c.epoch, c.ready) for c in entry.control.members.chains.values()
    }
    backends = entry.control.members.backends
    return leader_chains == entry_chains and len(backends) == ENGINES + SERVICES


class Trial:
    """One run of one cell.

    Args:
        cluster: The deployment, which must be ready.
        fault: The fault.
        role: Target node of the fault: a stage of the chain (``head``, ``middle``,
            ``last``), ``leader``, ``follower``, ``entry``, or ``here`` for the node
            that executes the step.
        recovery_timeout_s: Time after recovery within which a new request must be
            served when it is retried, in seconds.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        fault: Fault,
        role: str,
        recovery_timeout_s: float = RECOVERY_TIMEOUT_S,
    ):
        self.cluster = cluster
        self.fault = fault
        self.role = role
        self._recovery_timeout_s = recovery_timeout_s
        self.streams: list[Answer] = []
        self.calls: list[Answer] = []
        self.violations: list[Violation] = []
        self.drained_at_ns: dict[str, int] = {}
        self.injected = asyncio.Event()
        self.background: list[asyncio.Task] = []
        self.duplicator: Duplicator | None = None
        self.has_concurrent_operator = False
        self.allowed_run_states: frozenset[RunState] = frozenset()
        self.undrained_at_ns: dict[str, int] = {}
        self.node = ""
        self.stages = [stage.agent_id for stage in cluster.ready_stages()]
        self.first_step_index = len(cluster.recorder.steps)
        self._leader = cluster.leader().name
        self._injection: asyncio.Task | None = None
        self._injected_at = 0.0
        self._undo_patches: list[Callable[[], None]] = []
        self._watch = RevisionWatch(cluster=cluster)

    def stage(self) -> str:
        """Return the stage whose steps can trigger the fault."""
        role = self.role if self.role in STAGES else "middle"
        return self.stages[STAGES.index(role)]

    def target(self, step_node: str = "") -> str:
        """Return the target node of the fault.

        Args:
            step_node: Node that executes the step, for the role ``here``.
        """
        cluster = self.cluster
        if self.role in STAGES:
            return self.stages[STAGES.index(self.role)]
        if self.role == "leader":
            return self._leader
        if self.role == "follower":
            return next(name for name in cluster.controls if name != self._leader)
        return "e1" if self.role == "entry" else step_node

    async def inject(self, step_node: str = "") -> None:
        """Inject the fault, unless it was injected before, and wait for it.

        Args:
            step_node: Node that executes the step, for the role ``here``.
        """
        if self._injection is None:
            self.node = self.target(step_node)
            # Use a separate task, because the fault may cancel the task that called.
            self._injection = asyncio.create_task(self._inject_fault())
        await self.injected.wait()

    async def _inject_fault(self) -> None:
        self._injected_at = time.monotonic()
        fault_task = asyncio.create_task(self.fault.inject(self))
        if self.fault.disconnects:
            await fault_task
        await asyncio.sleep(0)
        self.injected.set()
        await fault_task

    def inject_at(self, matches: Callable[[Moment], bool]) -> None:
        """Inject the fault when a backend server reaches a matching moment."""

        async def hook(moment: Moment) -> None:
            if self._injection is None and matches(moment):
                await self.inject(moment.node)

        self.cluster.recorder.hook = hook

    def inject_at_command(self, body: str, *, after: bool = False) -> None:
        """Inject the fault before a replica proposes a command or after it commits.

        Args:
            body: Kind of command, as the field name in the message.
            after: Whether to inject after the commit, before the response.
        """
        for node in self.cluster.controls.values():
            self._wrap_propose(node.daemon.commands, body, after)

    def _wrap_propose(self, commands, body: str, after: bool) -> None:
        propose = commands.propose

        async def propose_and_inject(command: wire.Command) -> wire.CommandResult:
            if command.WhichOneof("body") != body or self._injection is not None:
                return await propose(command)
            step_node = self._node_of_command(command)
            if body == "place" and not step_node:
                return await propose(command)
            if not after:
                await self.inject(step_node)
                return await propose(command)
            result = await propose(command)
            await self.inject(step_node)
            return result

        commands.propose = propose_and_inject
        self._undo_patches.append(lambda: commands.__dict__.pop("propose", None))

    def _node_of_command(self, command: wire.Command) -> str:
        if command.WhichOneof("body") != "place":
            return command.claim.agent_id or command.drain.agent_id
        placed = [stage for chain in command.place.chains for stage in chain.stages]
        new = [s.agent_id for s in placed if s.agent_id not in self.stages]
        return new[0] if new else ""

    def inject_at_snapshot(self) -> None:
        """Inject the fault when the target node takes a snapshot."""
        state = self.cluster.controls[self.target()].daemon.state
        snapshot = state.snapshot
        injections: list[asyncio.Task] = []

        def snapshot_and_inject() -> bytes:
            if not injections:
                injections.append(asyncio.create_task(self.inject()))
            return snapshot()

        state.snapshot = snapshot_and_inject
        self._undo_patches.append(lambda: state.__dict__.pop("snapshot", None))

    async def stream(self, entry: str, max_tokens: int = 24) -> Answer:
        """Request a completion; resume it at the other entry if the entry fails."""
        answer = await request_completion(self.cluster, entry, max_tokens=max_tokens)
        self.streams.append(answer)
        if answer.outcome is Outcome.CUT and self.node == entry:
            if answer.request_id:
                await resume_completion(self.cluster, "e2", answer)
            else:
                # Without a request id, the caller would send the request again.
                self.streams.remove(answer)
        return answer

    async def call(self, entry: str, tag: str = "") -> Answer:
        """Send a note, and resend it to the other entry if the entry fails."""
        answer = await send_note(self.cluster, entry, tag=tag)
        if answer.outcome is Outcome.CUT and self.node == entry:
            answer = await send_note(self.cluster, "e2", tag=answer.tag)
        self.calls.append(answer)
        return answer

    async def traffic(self) -> None:
        """Send streams and notes to both entries concurrently."""
        await asyncio.gather(
            *(self.stream(entry) for entry in ("e1", "e2", "e1", "e2")),
            self.call("e1"),
            self.call("e2"),
        )

    async def close(self) -> None:
        """Release the resources that a failed run has left."""
        await self._watch.stop()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        if self.duplicator is not None:
            await self.duplicator.close()

    async def end_fault(self) -> None:
        """Wait for the minimum duration of the fault, then heal it.

        Raises:
            TimeoutError: The fault was not injected.
        """
        self.cluster.recorder.hook = None
        for undo in self._undo_patches:
            undo()
        if self._injection is None:
            raise TimeoutError(
                f"step was not reached at role {self.role}; no fault was injected"
            )
        await self.injected.wait()
        if self.fault.disconnects:
            await self._probe_isolated_node()
        await self._wait_since_injection(self.fault.min_duration_s)
        await self._injection
        await self.fault.heal(self)

    async def _wait_since_injection(self, seconds: float) -> None:
        remaining_s = self._injected_at + seconds - time.monotonic()
        await asyncio.sleep(max(0.0, remaining_s))

    async def _probe_isolated_node(self) -> None:
        await self._wait_since_injection(LEASE_EXPIRED_AFTER_S)
        if self.node in self.cluster.controls:
            base = self.cluster.controls[self.node].daemon.state.configuration.revision
            body = rules_body(base, f"isolated-{self._injected_at}", "isolated")
            reply = await post_to(self.cluster, self.node, "rules/apply", body)
            if reply is not None and reply.status == 200:
                self.violations.append(Violation(self.node, "accepts while isolated"))
        elif self.node in self.cluster.entries:
            await self._probe_isolated_entry()

    async def _probe_isolated_entry(self) -> None:
        for answer in (
            await request_completion(self.cluster, self.node),
            await send_note(self.cluster, self.node),
        ):
            got = (answer.outcome, answer.run, answer.retry_after)
            if got != (Outcome.REFUSED, "not-run", True):
                description = f"isolated entry answers {got}"
                self.violations.append(Violation(answer.tag, description))

    async def finish(self) -> list[Violation]:
        """Wait for recovery, send new requests and run all checks.

        Returns:
            All violations of the run.
        """
        cluster = self.cluster
        await wait_until_ready(cluster)
        await self._retry_unknown_calls()
        after = [
            answer
            for entry in cluster.entries
            for answer in (
                await self._retry_until_served(
                    lambda entry=entry: request_completion(cluster, entry)
                ),
                await self._retry_until_served(
                    lambda entry=entry: send_note(cluster, entry)
                ),
            )
        ]
        await self._change_rules()
        self.violations += checks.answer_violations(
            after, layers=LAYERS, allowed_run_states=()
        )
        self.calls += [answer for answer in after if not answer.max_tokens]
        await self._watch.stop()
        self.violations += checks.revision_violations(self._watch.observations)
        return self.violations + self._recorded_violations()

    async def _retry_until_served(
        self, send: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Retry a request as a caller does that was refused with a retry delay."""
        end = time.monotonic() + self._recovery_timeout_s
        while True:
            answer = await send()
            may_retry = answer.run == "not-run" and answer.retry_after
            if not may_retry or time.monotonic() > end:
                return answer
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _retry_unknown_calls(self) -> None:
        """Resend calls with an unknown outcome.

        An outcome that the replicated log records as unknown must stay unknown.
        """
        claims = self.cluster.leader().daemon.state.claims
        for answer in [each for each in self.calls if each.run == "unknown"]:
            record = claims.find(ORGANISATION, answer.tag)
            again = await send_note(self.cluster, "e2", tag=answer.tag)
            is_lost = record is not None and record.state == wire.UNKNOWN
            if is_lost and again.kind != "outcome-unknown":
                description = f"unknown for good, then {again.status} {again.kind}"
                self.violations.append(Violation(answer.tag, description))
            self.calls.append(again)

    async def _change_rules(self) -> None:
        reply = await apply_rules(self.cluster, self.cluster.revision())
        if reply.status != 200:
            self.violations.append(Violation("rules", f"not accepted: {reply.body}"))
            return
        revision = reply.body["revision"]
        clients = [n.control for n in self.cluster.entries.values()]
        await wait_until(
            lambda: all(client.revision >= revision for client in clients),
            f"revision {revision} at the entries",
        )

    def _recorded_violations(self) -> list[Violation]:
        recorder = self.cluster.recorder
        steps = recorder.steps[self.first_step_index :]
        answers = self.streams + self.calls
        found = checks.answer_violations(
            answers,
            layers=LAYERS,
            allowed_run_states=self.fault.allowed_run_states | self.allowed_run_states,
        )
        found += layer_order_violations(steps, layers=LAYERS)
        found += checks.at_most_once_violations(self.calls, recorder.effects)
        ran = recorder.prompts | {record["key"] for record in recorder.effects}
        found += checks.not_run_violations(answers, ran=ran)
        found += checks.work_after_drain(
            steps,
            drained_at_ns=self.drained_at_ns,
            undrained_at_ns=self.undrained_at_ns,
        )
        engines = [node.engine for node in self.cluster.agents.values() if node.engine]
        found += checks.order_violations({e.name: e.orders for e in engines})
        return found
