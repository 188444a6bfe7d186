"""Entries attached to any control replica."""

__all__ = ["Entries"]

from wigeonscale.wire import wire_pb2 as wire


class Entries:
    """The control replica that each entry is attached to.

    An entry is recorded once, with the replica that reported it last, so that an entry
    that moves between replicas is not counted twice.
    """

    def __init__(self):
        self._replicas: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def replica_of(self, entry: str) -> str | None:
        """Return the control replica an entry is attached to, or None.

        Args:
            entry: Name of the entry.

        Returns:
            Node id of the replica.
        """
        return self._replicas.get(entry)

    def attached_to(self, replica: str) -> set[str]:
        """Return the entries attached to a replica.

        Args:
            replica: Node id of the control replica.

        Returns:
            Their names. Takes time linear in the number of all entries.
        """
        return {entry for entry, at in self._replicas.items() if at == replica}

    def replicas(self) -> list[str]:
        """Return the control replicas that entries are attached to, sorted."""
        return sorted(set(self._replicas.values()))

    def apply(self, command: wire.CountEntries) -> None:
        """Apply a report of one replica.

        Args:
            command: Entries that attached to the replica, and entries that left it.
        """
        for entry in command.gone:
            if self._replicas.get(entry) == command.replica:
                del self._replicas[entry]
        for entry in command.attached:
            self._replicas[entry] = command.replica

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for replica in self.replicas():
            attached = sorted(self.attached_to(replica))
            snapshot.entries.add(replica=replica, attached=attached)

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self._replicas.clear()
        for record in snapshot.entries:
            self.apply(record)
