"""Claims on idempotency keys, for requests that must run at most once."""

__all__ = ["Claims"]

from collections import OrderedDict
from collections.abc import Iterable

from wigeonscale.errors import ErrorKind
from wigeonscale.state.results import done, refused
from wigeonscale.wire import wire_pb2 as wire

_FINAL_STATES = frozenset({wire.RAN, wire.FAILED, wire.UNKNOWN})


class Claims:
    """Claim records by organisation and idempotency key, oldest change first.

    Notes:
        Records are kept serialised, which saves memory and makes snapshots cheap.
        Ending an incarnation takes time linear in the number of its own claims.
    """

    def __init__(self):
        self._records: OrderedDict[tuple[str, str], bytes] = OrderedDict()
        # Claims in progress by (agent, incarnation). Dicts rather than sets, so that
        # the order is the same on every replica.
        self._in_progress: dict[tuple[str, int], dict[tuple[str, str], None]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, organisation: str, key: str) -> wire.ClaimRecord | None:
        """Return the record of a key, or None.

        Args:
            organisation: Name of the organisation.
            key: Idempotency key.

        Returns:
            A copy of the record.
        """
        data = self._records.get((organisation, key))
        return None if data is None else wire.ClaimRecord.FromString(data)

    def existing_result(self, claim: wire.Claim) -> wire.CommandResult | None:
        """Return the result for a key that is claimed already, or None.

        Args:
            claim: The new claim.

        Returns:
            Granted if the claim in progress is of the same dispatch, otherwise the
            existing record; ``IDEMPOTENCY_KEY_REUSED`` for a different request under
            the same key.
        """
        record = self.find(claim.organisation, claim.key)
        if record is None:
            return None
        if record.claim.digest != claim.digest:
            return refused(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                f"idempotency key {claim.key!r} was used for another request",
            )
        is_same_dispatch = record.claim.dispatch_id == claim.dispatch_id
        return done(
            claim=record, granted=is_same_dispatch and record.state == wire.CLAIMED
        )

    def add(self, claim: wire.Claim, wall_ms: int) -> wire.CommandResult:
        """Record a claim on a key that is not claimed.

        Args:
            claim: The new claim.
            wall_ms: Time of the state machine, in milliseconds.

        Returns:
            The new record, granted.
        """
        record = wire.ClaimRecord(claim=claim, state=wire.CLAIMED, wall_ms=wall_ms)
        self._insert(record)
        return done(claim=record, granted=True)

    def end(self, outcome: wire.Outcome, wall_ms: int) -> wire.CommandResult:
        """Release the claim of a request that did not run, or record its outcome.

        Args:
            outcome: The outcome, with the key and the dispatch of its claim.
            wall_ms: Time of the state machine, in milliseconds.

        Returns:
            The record after the call, if any; ``BAD_REQUEST`` for a state that is not
            final.
        """
        if not outcome.not_run and outcome.state not in _FINAL_STATES:
            return refused(
                ErrorKind.BAD_REQUEST, f"state {outcome.state} is not an outcome"
            )
        record = self.find(outcome.organisation, outcome.key)
        if record is None:
            return done()
        is_same_dispatch = record.claim.dispatch_id == outcome.dispatch_id
        if not is_same_dispatch or record.state != wire.CLAIMED:
            return done(claim=record)
        self._remove(record)
        if outcome.not_run:
            return done()
        ended = wire.ClaimRecord(
            claim=record.claim, state=outcome.state, wall_ms=wall_ms
        )
        self._insert(ended)
        return done(claim=ended)

    def end_incarnation(self, agent_id: str, incarnation: int, wall_ms: int) -> None:
        """Set the claims in progress at an incarnation to the final state UNKNOWN.

        Args:
            agent_id: Name of the backend server.
            incarnation: The incarnation that ended.
            wall_ms: Time of the state machine, in milliseconds.
        """
        for record_key in list(self._in_progress.get((agent_id, incarnation), ())):
            record = self.find(*record_key)
            self._remove(record)
            record.state = wire.UNKNOWN
            record.wall_ms = wall_ms
            self._insert(record)

    def expire(self, before_wall_ms: int) -> None:
        """Remove every claim last changed before a time.

        Args:
            before_wall_ms: Time in milliseconds.
        """
        while self._records:
            record = self._oldest()
            if record.wall_ms >= before_wall_ms:
                return
            self._remove(record)

    def oldest_wall_ms(self) -> int | None:
        """Return the time of the least recent change in milliseconds, or None."""
        return self._oldest().wall_ms if self._records else None

    def save(self) -> list[bytes]:
        """Return every record, serialised, least recently changed first."""
        return list(self._records.values())

    def load(self, records: Iterable[bytes]) -> None:
        """Replace the contents by the records of a snapshot.

        Args:
            records: Serialised, in the order of :meth:`save`.
        """
        self._records.clear()
        self._in_progress.clear()
        for data in records:
            self._insert(wire.ClaimRecord.FromString(data), data)

    def _oldest(self):
        return wire.ClaimRecord.FromString(next(iter(self._records.values())))

    def _insert(self, record, data=None):
        record_key = _record_key(record)
        self._records[record_key] = data or record.SerializeToString()
        if record.state == wire.CLAIMED:
            self._in_progress.setdefault(_incarnation_of(record), {})[record_key] = None

    def _remove(self, record):
        record_key = _record_key(record)
        del self._records[record_key]
        in_progress = self._in_progress.get(_incarnation_of(record))
        if in_progress is not None:
            in_progress.pop(record_key, None)
            if not in_progress:
                del self._in_progress[_incarnation_of(record)]


def _record_key(record: wire.ClaimRecord) -> tuple[str, str]:
    return record.claim.organisation, record.claim.key


def _incarnation_of(record: wire.ClaimRecord) -> tuple[str, int]:
    return record.claim.agent_id, record.claim.agent_incarnation
