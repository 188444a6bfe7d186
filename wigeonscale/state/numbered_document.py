"""A whole document under a number that its author gave it; the highest is in force."""

__all__ = ["LatestNumberedDocument"]

from wigeonscale.wire import wire_pb2 as wire


class LatestNumberedDocument:
    """The document in force and its number.

    Unlike the rules, whose revisions are counted here, the number comes from
    outside. A document with the same or a lower number changes nothing, whatever it
    holds, so that neither a resend nor an overtaken change takes anything back.

    Attributes:
        number: Number of the document in force; 0 for none.
        content: The document as it was sent, compressed.

    Example:
        >>> held = Numbered()
        >>> held.put(wire.NumberedDocument(number=7, content=b"a"))
        True
        >>> held.put(wire.NumberedDocument(number=7, content=b"b"))
        False
    """

    def __init__(self):
        self.number = 0
        self.content = b""

    def put(self, document: wire.NumberedDocument) -> bool:
        """Take in a document if its number is higher.

        Args:
            document: The document.

        Returns:
            Whether it is in force now and was not before.
        """
        if document.number <= self.number:
            return False
        self.number = document.number
        self.content = document.content
        return True

    def message(self) -> wire.NumberedDocument:
        """Return the document in force as a message."""
        return wire.NumberedDocument(number=self.number, content=self.content)

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write everything into a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        if self.number:
            snapshot.document.CopyFrom(self.message())

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace everything by what a snapshot holds.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self.number = snapshot.document.number
        self.content = snapshot.document.content
