"""Replicated state machine of the control plane."""

__all__ = ["DEFAULT_INCARNATION", "ControlState"]

from collections.abc import Callable

from google.protobuf.message import DecodeError
from reactivex.subject import Subject

from wigeonscale.errors import ErrorKind, SettingsError, WigeonscaleError
from wigeonscale.state.chains import Chains
from wigeonscale.state.change import Change
from wigeonscale.state.claims import Claims
from wigeonscale.state.configuration import HISTORY_LIMIT, Configuration
from wigeonscale.state.crash_records import CrashRecords
from wigeonscale.state.entries import Entries
from wigeonscale.state.members import Members
from wigeonscale.state.numbered_document import LatestNumberedDocument
from wigeonscale.state.operation_results import OperationResults
from wigeonscale.state.results import done, refused
from wigeonscale.state.retry_reservations import RetryReservations
from wigeonscale.state.retry_shares import RetryShares
from wigeonscale.state.snapshots import SNAPSHOT_FORMAT, parse_snapshot
from wigeonscale.wire import wire_pb2 as wire

# A few hundred sections of the rules. Shorter commands are not prepared in a thread.
LONG_COMMAND_BYTES = 16 * 1024
# Incarnation of backend servers that do not report a start time.
DEFAULT_INCARNATION = 1


class ControlState:
    """State that control replicas agree on; a replication state machine.

    Applying commands is deterministic: the same commands give the same results on every
    replica. No clock is read; the time of the state machine is the largest ``wall_ms``
    of any command so far.

    Args:
        history_limit: Revisions of the configuration kept.

    Attributes:
        configuration: Rules document, revision and history.
        members: Announced backend servers.
        chains: Pipeline replicas.
        claims: Claims of requests that must not run twice.
        entries: Entries attached to any replica.
        document: Numbered document with the highest number.
        crashes: Records of requests under which backend servers crashed.
        retry_reservations: Retries that entries reserved.
        retry_shares: Shares of the retry budget that entries hold.
        changes: Subject of :class:`Change`; emits after each command that changed
            anything that watchers are sent.
        index: Log index of the last command applied.
        now_ms: Time of the state machine, in milliseconds.
        placement_index: Log index of the last accepted placement plan.
    """

    def __init__(self, *, history_limit: int = HISTORY_LIMIT):
        self._history_limit = history_limit
        self.configuration = Configuration(history_limit=history_limit)
        self.members = Members()
        self.chains = Chains(members=self.members)
        self.claims = Claims()
        self.entries = Entries()
        self.document = LatestNumberedDocument()
        self.crashes = CrashRecords()
        self.retry_reservations = RetryReservations()
        self.retry_shares = RetryShares()
        self.changes: Subject[Change] = Subject()
        self.index = 0
        self.now_ms = 0
        self.placement_index = 0
        self._prepared_restore: tuple[bytes, Configuration] | None = None
        self._share_holders: int | None = None
        self._results = OperationResults()
        self._handlers = {
            "apply_config": self._apply_config,
            "claim": self._claim,
            "outcome": self._outcome,
            "announce": self._announce,
            "end_incarnation": self._end_incarnation,
            "place": self._place,
            "drain": self._drain,
            "expire": self._expire,
            "count_entries": self._count_entries,
            "put_document": self._put_document,
            "record_crashes": self._record_crashes,
            "hold_retry_share": self._hold_retry_share,
            "drop_retry_shares": self._drop_retry_shares,
        }

    def apply(self, index: int, term: int, data: bytes) -> wire.CommandResult:
        """Apply one committed command.

        Args:
            index: Log index of the command.
            term: Term of the command; ignored.
            data: A serialised command; anything else is refused.

        Returns:
            The result, the same on every replica.
        """
        self.index = index
        try:
            command = wire.Command.FromString(data)
        except DecodeError:
            command = wire.Command()
        self.now_ms = max(self.now_ms, command.wall_ms)
        change, result = self._apply_once(command)
        if change is not None:
            self.changes.on_next(change)
        return result

    def share_holders(self) -> int:
        """Return the number of entries that are attached or hold a retry share.

        Takes time linear in the shares after a change of either, else constant time.
        """
        if self._share_holders is None:
            unattached = [
                share
                for share in self.retry_shares
                if self.entries.replica_of(share.entry) is None
            ]
            self._share_holders = len(self.entries) + len(unattached)
        return self._share_holders

    def preparation(self, data: bytes) -> Callable[[], None] | None:
        """Return a function for a worker thread that shortens applying a command.

        Args:
            data: The serialised command.

        Returns:
            A function that changes no result, or None if nothing can be prepared.
        """
        if len(data) < LONG_COMMAND_BYTES:
            return None
        try:
            command = wire.Command.FromString(data)
        except DecodeError:
            return None
        if command.WhichOneof("body") != "apply_config":
            return None
        return self.configuration.preparation(command.apply_config)

    def first_result(self, command: wire.Command) -> wire.CommandResult | None:
        """Return the stored result of an operation, or None if it is new.

        Args:
            command: A command with an operation id.

        Returns:
            The first result; ``IDEMPOTENCY_KEY_REUSED`` if the id was used for a
            different command.
        """
        return self._results.find(command)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes; equal states give equal bytes."""
        snapshot = wire.StateSnapshot(
            format=SNAPSHOT_FORMAT,
            index=self.index,
            now_ms=self.now_ms,
            placement_index=self.placement_index,
            claims=self.claims.save(),
        )
        self._results.save(snapshot)
        self.configuration.save(snapshot)
        self.members.save(snapshot)
        self.chains.save(snapshot)
        self.entries.save(snapshot)
        self.document.save(snapshot)
        self.crashes.save(snapshot)
        self.retry_reservations.save(snapshot)
        self.retry_shares.save(snapshot)
        return snapshot.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot.

        Args:
            data: Bytes from :meth:`snapshot` of this or another replica.

        Raises:
            WigeonscaleError: ``CORRUPT_LOG`` if it is invalid; nothing changed.
        """
        snapshot = parse_snapshot(data)
        configuration = self._take_prepared_configuration(data)
        claims = Claims()
        results = OperationResults()
        try:
            if configuration is None:
                configuration = Configuration(history_limit=self._history_limit)
                configuration.load(snapshot)
            claims.load(snapshot.claims)
            results.load(snapshot)
        except (SettingsError, DecodeError) as exc:
            raise WigeonscaleError(
                ErrorKind.CORRUPT_LOG, f"the snapshot has an invalid record: {exc}"
            ) from exc
        self.configuration = configuration
        self.claims = claims
        self._results = results
        self.members.load(snapshot)
        self.chains.load(snapshot)
        self.entries.load(snapshot)
        self.document.load(snapshot)
        self.crashes.load(snapshot.crashes)
        self.retry_reservations.load(snapshot.retry_reservations)
        self.retry_shares.load(snapshot.retry_shares)
        self._share_holders = None
        self.index = snapshot.index
        self.now_ms = snapshot.now_ms
        self.placement_index = snapshot.placement_index
        self.changes.on_next(Change(self.index, is_restore=True))

    def restore_preparation(self, data: bytes) -> Callable[[], None]:
        """Return a function for a worker thread that shortens a :meth:`restore`.

        Args:
            data: The snapshot; the same object must be passed to :meth:`restore`.

        Returns:
            A function that does not change any result.
        """

        def prepare() -> None:
            configuration = Configuration(history_limit=self._history_limit)
            try:
                configuration.load(parse_snapshot(data))
            except (SettingsError, WigeonscaleError):
                return  # restore() raises the error
            self._prepared_restore = (data, configuration)

        return prepare

    def _take_prepared_configuration(self, data):
        prepared, self._prepared_restore = self._prepared_restore, None
        if prepared is None or prepared[0] is not data:
            return None
        return prepared[1]

    def _apply_once(self, command):
        operation_id = command.operation_id
        first = self.first_result(command) if operation_id else None
        if first is not None:
            return None, first
        change, result = self._dispatch(command)
        result.index = self.index
        result.revision = self.configuration.revision
        if operation_id:
            self._results.add(command, result, now_ms=self.now_ms)
        return change, result

    def _dispatch(self, command):
        name = command.WhichOneof("body")
        if name == "reserve_retries":
            # The leader sets its expired index beside the body.
            return None, self._reserve_retries(command)
        handler = self._handlers.get(name)
        if handler is None:
            return None, refused(ErrorKind.BAD_REQUEST, "unknown or garbled command")
        return handler(getattr(command, name))

    def _apply_config(self, command):
        result = self.configuration.apply(command, self.now_ms)
        if result.kind:
            return None, result
        return Change(self.index, configuration=True), result

    def _claim(self, claim):
        if not claim.key or not claim.dispatch_id:
            return None, refused(
                ErrorKind.BAD_REQUEST, "a claim needs a key and a dispatch id"
            )
        existing = self.claims.existing_result(claim)
        if existing is not None:
            return None, existing
        if not self.members.is_announced(claim.agent_id, claim.agent_incarnation):
            return None, refused(
                ErrorKind.STALE_INCARNATION,
                f"{claim.agent_id!r}/{claim.agent_incarnation} is not announced",
            )
        return None, self.claims.add(claim, self.now_ms)

    def _outcome(self, outcome):
        return None, self.claims.end(outcome, self.now_ms)

    def _announce(self, command):
        backend = command.backend
        refusal = self.members.announcement_error(backend, command.sequence)
        if refusal is not None:
            return None, refusal
        before = self.members.get(backend.agent_id)
        if before is not None and before.backend.incarnation != backend.incarnation:
            self._end(backend.agent_id, before.backend.incarnation)
        replaced = self.members.others_at_address(backend)
        for agent_id, incarnation in replaced:
            self._end(agent_id, incarnation)
        self.members.put(backend, command.replica, command.sequence)
        return self._member_change(backend.agent_id, *(i for i, _ in replaced)), done()

    def _end_incarnation(self, command):
        agent_id = command.agent_id
        member = self.members.get(agent_id)
        has_moved = member is not None and member.replica != command.replica
        if command.replica and has_moved:
            return None, refused(
                ErrorKind.REVISION_CONFLICT,
                f"{agent_id!r} is attached to {member.replica!r} now",
            )
        incarnation = command.incarnation or self._announced_incarnation(member)
        if not agent_id or self.members.is_ended(agent_id, incarnation):
            return None, done()
        self._end(agent_id, incarnation)
        if member is None:
            return None, done()
        announced_incarnation = member.backend.incarnation
        # The ended incarnation started later than the announced one, so the announced
        # one has ended too.
        if (
            announced_incarnation != incarnation
            and 0 < member.backend.started_ms < incarnation
        ):
            self._end(agent_id, announced_incarnation)
        is_gone = self.members.get(agent_id) is None
        return self._member_change(agent_id) if is_gone else None, done()

    def _announced_incarnation(self, member):
        """Return the incarnation to end if the command names none."""
        return member.backend.incarnation if member is not None else DEFAULT_INCARNATION

    def _end(self, agent_id, incarnation):
        self.members.end(agent_id, incarnation)
        self.claims.end_incarnation(agent_id, incarnation, self.now_ms)

    def _place(self, command):
        if command.base_index != self.placement_index:
            return None, refused(
                ErrorKind.REVISION_CONFLICT,
                f"planned from placement {command.base_index},"
                f" but {self.placement_index} is in force",
            )
        result, changed_ids = self.chains.place(command, self.now_ms)
        if result.kind:
            return None, result
        self.placement_index = self.index
        return Change(self.index, chains=frozenset(changed_ids)), result

    def _drain(self, command):
        result = self.members.drain(command)
        if result.kind:
            return None, result
        return Change(self.index, backends=frozenset({command.agent_id})), result

    def _expire(self, command):
        self.claims.expire(min(command.before_wall_ms, self.now_ms))
        return None, done()

    def _count_entries(self, command):
        self.entries.apply(command)
        self._share_holders = None
        # No change is emitted: each lease grant carries the count to the watchers.
        return None, done()

    def _put_document(self, document):
        if not self.document.put(document):
            return None, done()
        return Change(self.index, document=True), done()

    def _record_crashes(self, found):
        if not self.crashes.record(found, index=self.index, now_ms=self.now_ms):
            return None, done()
        return Change(self.index, crashes=True), done()

    def _reserve_retries(self, command):
        # No change is emitted: only the entry that reserved them needs to know.
        result = done()
        result.reserved = self.retry_reservations.reserve(
            command.reserve_retries,
            index=self.index,
            expired_index=command.expired_index,
        )
        return result

    def _hold_retry_share(self, share):
        result = done()
        result.share_parts = self.retry_shares.hold(share)
        self._share_holders = None
        return None, result

    def _drop_retry_shares(self, command):
        for share in command.shares:
            if self.entries.replica_of(share.entry) is None:
                self.retry_shares.drop(share)
        self._share_holders = None
        return None, done()

    def _member_change(self, *agent_ids):
        chains = [chain for i in agent_ids for chain in self.chains.refresh(i)]
        return Change(
            self.index, backends=frozenset(agent_ids), chains=frozenset(chains)
        )
