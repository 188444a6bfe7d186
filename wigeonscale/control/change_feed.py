"""Computes updates for watchers, once for all watchers at the same position."""

__all__ = ["ChangeFeed"]

from collections import deque

from wigeonscale.state import Change, ControlState
from wigeonscale.wire import wire_pb2 as wire

# A watcher that is further behind gets the whole membership instead of a delta.
MAX_CHANGES = 4096


class ChangeFeed:
    """Keeps recent changes of the state and builds updates from them.

    A watcher is represented only by its position in this feed. A slow watcher takes no
    memory, since its next update is built from the state at that time. Watchers at the
    same position share one message.

    Args:
        state: Replicated state.
        max_changes: Number of changes kept for deltas.

    Attributes:
        index: Log index of the newest change seen.

    Notes:
        The cost and size of an update grow with what changed since the position.
    """

    def __init__(self, *, state: ControlState, max_changes: int = MAX_CHANGES):
        self.index = state.index
        self._state = state
        self._max_changes = max_changes
        self._changes: deque[Change] = deque()
        # All member changes after this log index are still kept.
        self._complete_after = state.index
        self._members_cache: dict[int, wire.MembersUpdate | None] = {}
        self._config_cache: dict[int, wire.ConfigUpdate] = {}

    def add(self, change: Change) -> None:
        """Append a change of the state.

        Args:
            change: Change emitted by the state.
        """
        self.index = change.index
        self._members_cache.clear()
        if change.is_restore:
            self._changes.clear()
            self._complete_after = change.index
            self._config_cache.clear()
            return
        if change.configuration:
            self._evict_old_configs()
        if not change.affects_members:
            return
        self._changes.append(change)
        if len(self._changes) > self._max_changes:
            self._complete_after = self._changes.popleft().index

    def members_after(self, index: int | None) -> wire.MembersUpdate | None:
        """Return the membership update for a watcher at a position.

        Args:
            index: Log index of the members that the watcher knows, or None.

        Returns:
            A delta, the whole membership if the position is too old, or None if
            nothing changed. The message is shared and must not be modified.
        """
        # A watcher that was updated by a replica ahead of this one gets everything.
        is_known = index is not None and self._complete_after <= index <= self.index
        key = index if is_known else -1
        if key not in self._members_cache:
            make = self._delta_after if is_known else self._full_members
            self._members_cache[key] = make(index)
        return self._members_cache[key]

    def configs_after(self, revision: int) -> list[wire.ConfigUpdate]:
        """Return the updates that bring a watcher to the revision in force.

        Args:
            revision: Revision that the watcher has; 0 for none.

        Returns:
            One update per revision, or one with the whole document. Empty if the
            watcher is up to date or ahead of this replica. The messages are shared
            and must not be modified.
        """
        configuration = self._state.configuration
        if revision >= configuration.revision:
            return []
        if revision < configuration.oldest_base_revision or revision == 0:
            return [self._full_config()]
        return [self._config_update(each) for each in configuration.after(revision)]

    def _delta_after(self, index):
        backends, chains = set(), set()
        for change in reversed(self._changes):
            if change.index <= index:
                break
            backends |= change.backends
            chains |= change.chains
        if not backends and not chains:
            return None
        update = wire.MembersUpdate(index=self.index)
        for agent_id in sorted(backends):
            self._put_backend(update, agent_id)
        for chain_id in sorted(chains):
            self._put_chain(update, chain_id)
        return update

    def _put_backend(self, update, agent_id):
        backend = self._state.members.effective(agent_id)
        if backend is None:
            update.removed_backends.append(agent_id)
        else:
            update.backends.append(backend)

    def _put_chain(self, update, chain_id):
        chain = self._state.chains.get(chain_id)
        if chain is None:
            update.removed_chains.append(chain_id)
        else:
            update.chains.append(chain)

    def _full_members(self, _):
        update = wire.MembersUpdate(full=True, index=self.index)
        update.chains.extend(self._state.chains)
        members = self._state.members
        for member in members:
            update.backends.append(members.effective(member.backend.agent_id))
        return update

    def _full_config(self):
        if 0 not in self._config_cache:
            configuration = self._state.configuration
            self._config_cache[0] = wire.ConfigUpdate(
                revision=configuration.revision,
                changes=configuration.changes_from_empty(),
                digest=configuration.document.digest,
            )
        return self._config_cache[0]

    def _config_update(self, revision):
        if revision.number not in self._config_cache:
            self._config_cache[revision.number] = wire.ConfigUpdate(
                base_revision=revision.number - 1,
                revision=revision.number,
                changes=revision.changes,
                digest=revision.document.digest,
            )
        return self._config_cache[revision.number]

    def _evict_old_configs(self):
        # Includes key 0, the whole document, which differs after each change.
        oldest = self._state.configuration.oldest_base_revision
        for number in [n for n in self._config_cache if n <= oldest]:
            del self._config_cache[number]
