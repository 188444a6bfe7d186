"""Replicated shares of the slack of the retry budget, by entry."""

__all__ = ["RetryShares"]

from collections.abc import Iterable, Iterator

from wigeonscale.limits import ALL_SHARE_PARTS
from wigeonscale.wire import wire_pb2 as wire


class RetryShares:
    """The share that each entry holds; the sum never exceeds ``ALL_SHARE_PARTS``.

    A share may be used without contact to control, so it counts until its entry has
    lowered it or has lost it. Only the entry knows when it last used its share, so
    only commands of its own process lower it.

    Example:
        >>> shares = RetryShares()
        >>> first = wire.RetryShare(entry="e1", sequence=1, parts=700_000)
        >>> second = wire.RetryShare(entry="e2", sequence=1, parts=700_000)
        >>> shares.hold(first), shares.hold(second), len(shares)
        (700000, 300000, 2)
    """

    def __init__(self):
        self._shares: dict[str, wire.RetryShare] = {}
        self._held = 0

    def __len__(self) -> int:
        return len(self._shares)

    def __iter__(self) -> Iterator[wire.RetryShare]:
        return iter(self._shares.values())

    def get(self, entry: str) -> wire.RetryShare | None:
        """Return the share of an entry, or None.

        Args:
            entry: Name of the entry.
        """
        return self._shares.get(entry)

    def hold(self, req: wire.RetryShare) -> int:
        """Set the share of an entry, as far as the others leave room for it.

        Args:
            req: Wanted share.

        Returns:
            Parts that the entry holds now.
        """
        before = self._shares.get(req.entry)
        held = before.parts if before is not None else 0
        is_same_process = before is not None and before.process == req.process
        if is_same_process and req.sequence <= before.sequence:
            return held
        parts = min(max(0, req.parts), held + self.free)
        if not is_same_process:
            # A late command of a former process must not lower the share.
            parts = max(parts, held)
        share = wire.RetryShare()
        share.CopyFrom(req)
        share.parts = parts
        self._shares[req.entry] = share
        self._held += parts - held
        return parts

    def drop(self, req: wire.RetryShare) -> None:
        """Drop the share of an entry if it has not changed.

        Args:
            req: Entry, process and sequence of the share.
        """
        share = self._shares.get(req.entry)
        if share is None:
            return
        if (share.process, share.sequence) == (req.process, req.sequence):
            del self._shares[req.entry]
            self._held -= share.parts

    @property
    def free(self) -> int:
        """Parts that nobody holds."""
        return ALL_SHARE_PARTS - self._held

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for entry in sorted(self._shares):
            snapshot.retry_shares.add().CopyFrom(self._shares[entry])

    def load(self, shares: Iterable[wire.RetryShare]) -> None:
        """Replace the contents by the shares of a snapshot.

        Args:
            shares: Shares of all entries.
        """
        self._shares.clear()
        self._held = 0
        for share in shares:
            kept = wire.RetryShare()
            kept.CopyFrom(share)
            self._shares[kept.entry] = kept
            self._held += kept.parts
