"""Accepted configuration: rules document, revision and bounded history."""

__all__ = ["HISTORY_LIMIT", "Configuration", "Revision"]

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind, SettingsError
from wigeonscale.rules import (
    EMPTY_DOCUMENT,
    Document,
    diff_documents,
    parse_document,
    patch_document,
)
from wigeonscale.state.results import done, refused
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

# About half an hour at 46,000 changes a day. A watcher that was disconnected for longer
# gets the whole document.
HISTORY_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted change of the configuration.

    Attributes:
        number: Revision after the change.
        wall_ms: Wall time of the command, in milliseconds.
        operator: Name of the operator who requested it.
        changes: Changed sections, relative to the revision before.
        document: Document after the change; shares unchanged sections with the one
            before.
    """

    number: int
    wall_ms: int
    operator: str
    changes: tuple[wire.SectionChange, ...]
    document: Document


@dataclass(frozen=True, slots=True)
class _PreparedChange:
    """Result of a command, computed before the command is applied."""

    base: Document
    command: wire.ApplyConfig
    document: Document
    changes: tuple[wire.SectionChange, ...]


class Configuration:
    """The current document and the recent revisions that led to it.

    Args:
        history_limit: Revisions kept for watchers and for rollback.
    """

    def __init__(self, *, history_limit: int = HISTORY_LIMIT):
        self._limit = history_limit
        self._base_revision = 0
        self._base_document = EMPTY_DOCUMENT
        self._history: deque[Revision] = deque()
        self._prepared: _PreparedChange | None = None

    @property
    def revision(self) -> int:
        """Number of the current revision; 0 before the first."""
        return self._history[-1].number if self._history else self._base_revision

    @property
    def document(self) -> Document:
        """Current document."""
        return self._history[-1].document if self._history else self._base_document

    @property
    def history(self) -> tuple[Revision, ...]:
        """Kept revisions, oldest first."""
        return tuple(self._history)

    @property
    def oldest_base_revision(self) -> int:
        """Oldest revision that :meth:`after` accepts."""
        return self._base_revision

    def after(self, revision: int) -> list[Revision]:
        """Return the revisions that follow a given one.

        Args:
            revision: At least :attr:`oldest_base_revision`.

        Returns:
            Later revisions, oldest first.
        """
        later = max(0, self.revision - revision)
        return [self._history[i] for i in range(-later, 0)]

    def document_at(self, revision: int) -> Document | None:
        """Return the document of a revision, or None if it is no longer kept.

        Args:
            revision: Revision number.

        Returns:
            The document at that revision, or None.
        """
        if revision == self._base_revision:
            return self._base_document
        position = revision - self._base_revision - 1
        if 0 <= position < len(self._history):
            return self._history[position].document
        return None

    def changes_from_empty(self) -> list[wire.SectionChange]:
        """Return the changes that turn an empty document into the current one."""
        return diff_documents(EMPTY_DOCUMENT, self.document)

    def preparation(self, command: wire.ApplyConfig) -> Callable[[], None] | None:
        """Return a function for a worker thread that shortens a later :meth:`apply`.

        Args:
            command: The command that will be applied.

        Returns:
            A function that parses the command's sections and stores the result for
            :meth:`apply`; None if that has been done already or the command is based
            on another revision.
        """
        base = self.document
        if command.base_revision != self.revision or self._is_prepared(command):
            return None

        def prepare() -> None:
            try:
                self._prepared = _PreparedChange(
                    base, command, *_build_document(base, command)
                )
            except SettingsError as exc:
                logger.info(
                    "the change of the rules cannot be applied: %s", exc.message
                )

        return prepare

    def set_prepared(
        self, command: wire.ApplyConfig, base: Document, document: Document
    ) -> None:
        """Store the known result of a command for a later :meth:`apply`.

        Args:
            command: Sections changed from ``base`` to ``document``.
            base: The document that the command is based on.
            document: The document after the command.
        """
        changes = tuple(command.changes)
        self._prepared = _PreparedChange(base, command, document, changes)

    def _is_prepared(self, command):
        prepared = self._prepared
        return (
            prepared is not None
            and prepared.base is self.document
            and prepared.command == command
        )

    def apply(self, command: wire.ApplyConfig, wall_ms: int) -> wire.CommandResult:
        """Create a new revision if the command is based on the current one.

        Args:
            command: The whole new document, or only the changed sections.
            wall_ms: Time of the command, in milliseconds.

        Returns:
            Done, or ``REVISION_CONFLICT`` or ``INVALID_DOCUMENT``.
        """
        if command.base_revision != self.revision:
            return refused(
                ErrorKind.REVISION_CONFLICT,
                f"made from revision {command.base_revision},"
                f" but revision {self.revision} is in force",
            )
        try:
            document, changes = self._evaluate(command)
            self._prepared = None
        except SettingsError as exc:
            return refused(ErrorKind.INVALID_DOCUMENT, exc.message)
        if command.digest not in ("", document.digest):
            return refused(
                ErrorKind.INVALID_DOCUMENT,
                f"the changes make a document with digest {document.digest},"
                f" not {command.digest}",
            )
        number = self.revision + 1
        self._append(Revision(number, wall_ms, command.operator, changes, document))
        return done()

    def _evaluate(self, command):
        if self._is_prepared(command):
            return self._prepared.document, self._prepared.changes
        return _build_document(self.document, command)

    def _append(self, revision):
        self._history.append(revision)
        if len(self._history) > self._limit:
            oldest = self._history.popleft()
            self._base_revision = oldest.number
            self._base_document = oldest.document

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        snapshot.base_revision = self._base_revision
        snapshot.base_document = self._base_document.text
        for revision in self._history:
            snapshot.history.add(
                revision=revision.number,
                wall_ms=revision.wall_ms,
                operator=revision.operator,
                changes=revision.changes,
            )

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self._base_revision = snapshot.base_revision
        text = snapshot.base_document
        self._base_document = parse_document(text) if text else EMPTY_DOCUMENT
        self._history.clear()
        for record in snapshot.history:
            changes = tuple(record.changes)
            document = patch_document(self.document, changes)
            self._history.append(
                Revision(
                    record.revision, record.wall_ms, record.operator, changes, document
                )
            )


def _build_document(base, command):
    """Return the document after a command, and its changes to ``base``."""
    if command.changes and command.document:
        raise SettingsError("both a document and changes given; give one")
    if command.changes:
        changes = tuple(command.changes)
        return patch_document(base, changes), changes
    document = parse_document(command.document)
    return document, tuple(diff_documents(base, document))
