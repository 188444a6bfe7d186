"""Commits the announcements of attached agents."""

__all__ = ["commit_announcements"]

import logging

from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

RETRY_DELAY_S = 0.2
# If another replica committed the last announcement of an agent, the agent may have
# moved to it. This replica commits the agent again only if it still receives messages
# from the agent after this delay.
MOVED_CHECK_DELAY_S = 1.0

logger = logging.getLogger(__name__)


async def commit_announcements(
    *, node_id: str, watcher: Watcher, hub: Hub, commands: Commands, clock: Clock
) -> None:
    """Commit the announcements of one agent's stream until cancelled.

    Submits one command at a time; announcements that arrive meanwhile are merged.

    Args:
        node_id: Node id of this replica.
        watcher: The agent's stream.
        hub: Watch hub of this replica.
        commands: Submits commands to the replicated log.
        clock: Time source.
    """
    while True:
        await watcher.announce_wake.wait()
        watcher.announce_wake.clear()
        if watcher.pending_announcement is None:
            began = clock.now()
            await clock.sleep(MOVED_CHECK_DELAY_S)
            if watcher.last_message_at > began and hub.is_attached_elsewhere(watcher):
                watcher.pending_announcement = watcher.announced
        while watcher.pending_announcement is not None:
            await _commit(node_id, watcher, hub, commands, clock)


async def _commit(node_id, watcher, hub, commands, clock):
    backend = watcher.pending_announcement
    if hub.agent(watcher.node_id, backend.incarnation) is not watcher:
        # A newer stream of the same agent has replaced this one.
        watcher.pending_announcement = None
        return
    command = wire.Command(announce=wire.Announce(backend=backend, replica=node_id))
    try:
        if not hub.is_committed(backend):
            await commands.submit(command)
    except WigeonscaleError as exc:
        if not _is_final(exc, backend, watcher):
            await clock.sleep(RETRY_DELAY_S)
            return
    if watcher.pending_announcement is backend:
        watcher.pending_announcement = None


def _is_final(exc, backend, watcher):
    if exc.kind is ErrorKind.STALE_INCARNATION:
        watcher.ended_incarnation = backend.incarnation
        watcher.wake.set()
        return True
    logger.warning(
        "could not commit announcement of %s: %s", backend.agent_id, exc.message
    )
    return exc.kind is ErrorKind.BAD_REQUEST
