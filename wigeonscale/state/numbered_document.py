"""Document with a number assigned by its author; the highest number wins."""

__all__ = ["LatestNumberedDocument"]

from wigeonscale.wire import wire_pb2 as wire


class LatestNumberedDocument:
    """The numbered document with the highest number so far.

    Unlike revisions of the rules, which control assigns, the number is assigned by the
    author of the document. A document with the same or a lower number is ignored,
    whatever its content, so that neither a retry nor a reordered update reverts a
    newer one.

    Attributes:
        number: Number of the document; 0 for none.
        content: The document as sent, compressed.

    Example:
        >>> latest = LatestNumberedDocument()
        >>> latest.put(wire.NumberedDocument(number=7, content=b"a"))
        True
        >>> latest.put(wire.NumberedDocument(number=7, content=b"b"))
        False
    """

    def __init__(self):
        self.number = 0
        self.content = b""

    def put(self, document: wire.NumberedDocument) -> bool:
        """Store a document if its number is higher.

        Args:
            document: The document.

        Returns:
            Whether it was stored.
        """
        if document.number <= self.number:
            return False
        self.number = document.number
        self.content = document.content
        return True

    def message(self) -> wire.NumberedDocument:
        """Return the document and its number as a message."""
        return wire.NumberedDocument(number=self.number, content=self.content)

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        if self.number:
            snapshot.document.CopyFrom(self.message())

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self.number = snapshot.document.number
        self.content = snapshot.document.content
