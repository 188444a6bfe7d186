"""The configuration in force in this process; it never goes back."""

__all__ = ["ConfigResult", "Configuration"]

import asyncio
import enum
import logging

from wigeonscale import rules
from wigeonscale.errors import WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

# Up to as many changed sections are read on the event loop: a few milliseconds.
INLINE_CHANGES = 50

logger = logging.getLogger(__name__)


class ConfigResult(enum.Enum):
    """What became of an update."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    OLDER = "older"
    WRONG_BASE = "wrong-base"
    WRONG_DIGEST = "wrong-digest"
    INVALID = "invalid"


class Configuration:
    """Document, its revision and the rules made from it.

    Attributes:
        revision: Revision in force; 0 before any.
        document: The rules document in force.
        ruleset: The rules made from the document.
    """

    def __init__(self):
        self.revision = 0
        self.document = rules.EMPTY_DOCUMENT
        self.ruleset = rules.Ruleset.from_document(self.document)

    async def apply(self, update: wire.ConfigUpdate) -> ConfigResult:
        """Take in an update if it is newer, fits and has the right digest.

        Args:
            update: Sections changed since ``base_revision``; the whole document
                when that is 0.

        Returns:
            What became of it. Only ``APPLIED`` changed anything.

        Notes:
            One at a time: the caller waits for one before the next. Many sections
            are read in a thread, so that heartbeats and requests go on.
        """
        if update.revision < self.revision:
            return ConfigResult.OLDER
        if update.revision == self.revision:
            return self._compare(update)
        if update.base_revision not in (0, self.revision):
            return ConfigResult.WRONG_BASE
        base = self.document if update.base_revision else rules.EMPTY_DOCUMENT
        return await self._install(update, base)

    def _compare(self, update: wire.ConfigUpdate) -> ConfigResult:
        if update.digest and update.digest != self.document.digest:
            return ConfigResult.WRONG_DIGEST
        return ConfigResult.UNCHANGED

    async def _install(
        self, update: wire.ConfigUpdate, base: "rules.Document"
    ) -> ConfigResult:
        try:
            if len(update.changes) <= INLINE_CHANGES:
                document, ruleset = _made(base, update)
            else:
                document, ruleset = await asyncio.to_thread(_made, base, update)
        except WigeonscaleError as exc:
            logger.error("revision %d refused: %s", update.revision, exc.message)
            return ConfigResult.INVALID
        if document.digest != update.digest:
            return ConfigResult.WRONG_DIGEST
        self.document = document
        self.ruleset = ruleset
        self.revision = update.revision
        return ConfigResult.APPLIED


def _made(base, update):
    document = rules.patch_document(base, update.changes)
    return document, rules.Ruleset.from_document(document)
