"""Commits what an attached agent announces."""

__all__ = ["keep_announced"]

import logging

from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

RETRY_S = 0.2
# An agent that another replica committed last may have moved there; the one to
# which it still speaks after this long holds it.
MOVED_CHECK_S = 1.0

logger = logging.getLogger(__name__)


async def keep_announced(
    *, node_id: str, watcher: Watcher, hub: Hub, commands: Commands, clock: Clock
) -> None:
    """Commit the announcements of one agent's stream until cancelled.

    One command at a time; announcements that come meanwhile count as one.

    Args:
        node_id: Name of this replica.
        watcher: The agent's stream.
        hub: Watch hub of this replica.
        commands: Way of commands to the log.
        clock: Clock port.
    """
    while True:
        await watcher.announce_wake.wait()
        watcher.announce_wake.clear()
        if watcher.announcement is None:
            began = clock.now()
            await clock.sleep(MOVED_CHECK_S)
            if watcher.last_message_at > began and hub.is_elsewhere(watcher):
                watcher.announcement = watcher.announced
        while watcher.announcement is not None:
            await _commit(node_id, watcher, hub, commands, clock)


async def _commit(node_id, watcher, hub, commands, clock):
    backend = watcher.announcement
    if hub.agent(watcher.node_id, backend.incarnation) is not watcher:
        # A newer stream of the same agent speaks for it.
        watcher.announcement = None
        return
    command = wire.Command(announce=wire.Announce(backend=backend, replica=node_id))
    try:
        if not hub.shows(backend):
            await commands.submit(command)
    except WigeonscaleError as exc:
        if not _is_final(exc, backend, watcher):
            await clock.sleep(RETRY_S)
            return
    if watcher.announcement is backend:
        watcher.announcement = None


def _is_final(exc, backend, watcher):
    if exc.kind is ErrorKind.STALE_INCARNATION:
        watcher.ended = backend.incarnation
        watcher.wake.set()
        return True
    logger.warning("announcement of %s: %s", backend.agent_id, exc.message)
    return exc.kind is ErrorKind.BAD_REQUEST
