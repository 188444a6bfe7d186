"""Watcher's view of backends and chains, updated incrementally."""

__all__ = ["MembersView"]

from collections.abc import Mapping
from types import MappingProxyType

from wigeonscale.wire import wire_pb2 as wire


class _MessageGroups:
    """Messages grouped by a key, for example chains by pipeline."""

    def __init__(self):
        self._groups: dict[str, dict[str, object]] = {}
        self._lists: dict[str, tuple] = {}

    def add(self, group: str, name: str, message: object) -> None:
        self._groups.setdefault(group, {})[name] = message
        self._lists.pop(group, None)

    def remove(self, group: str, name: str) -> None:
        members = self._groups.get(group, {})
        members.pop(name, None)
        if not members:
            self._groups.pop(group, None)
        self._lists.pop(group, None)

    def copy(self) -> "_MessageGroups":
        other = _MessageGroups()
        other._groups = {name: dict(group) for name, group in self._groups.items()}
        return other

    def list_of(self, group: str) -> tuple:
        if group not in self._lists:
            if group not in self._groups:
                return ()
            self._lists[group] = tuple(self._groups[group].values())
        return self._lists[group]


class MembersView:
    """Backends and chains at one log index.

    Notes:
        Applying an update takes time linear in the size of the update. ``chains_of``
        and ``backends_of`` cache their tuple until that pipeline or service changes.
    """

    def __init__(self):
        self.index = 0
        self._backends: dict[str, wire.Backend] = {}
        self._chains: dict[str, wire.Chain] = {}
        self._by_service = _MessageGroups()
        self._by_pipeline = _MessageGroups()

    @property
    def backends(self) -> Mapping[str, wire.Backend]:
        """Announced backends by agent id."""
        return MappingProxyType(self._backends)

    @property
    def chains(self) -> Mapping[str, wire.Chain]:
        """Pipeline replicas by chain id, ready or not."""
        return MappingProxyType(self._chains)

    @property
    def spares(self) -> list[wire.Backend]:
        """Engines that are no stage of any chain. Takes time linear in all members."""
        used = {s.agent_id for chain in self._chains.values() for s in chain.stages}
        return [
            backend
            for agent_id, backend in self._backends.items()
            if backend.kind == wire.ENGINE and agent_id not in used
        ]

    def chains_of(self, pipeline: str) -> tuple[wire.Chain, ...]:
        """Return the chains of a pipeline, ready or not.

        Args:
            pipeline: Name of the pipeline.

        Returns:
            Its chains; empty when there are none.
        """
        return self._by_pipeline.list_of(pipeline)

    def backends_of(self, service: str) -> tuple[wire.Backend, ...]:
        """Return the backends of a plain service, including draining ones.

        Args:
            service: Name of the service.

        Returns:
            Its backends; empty when there are none.
        """
        return self._by_service.list_of(service)

    def copy(self) -> "MembersView":
        """Return an independent copy that shares the messages."""
        other = MembersView()
        other.index = self.index
        other._backends = dict(self._backends)
        other._chains = dict(self._chains)
        other._by_service = self._by_service.copy()
        other._by_pipeline = self._by_pipeline.copy()
        return other

    def apply(self, update: wire.MembersUpdate) -> None:
        """Apply one update.

        Args:
            update: A delta, or a full update that replaces the contents.
        """
        if update.full:
            self.__init__()
        for agent_id in update.removed_backends:
            self._remove_backend(agent_id)
        for chain_id in update.removed_chains:
            self._remove_chain(chain_id)
        for backend in update.backends:
            self._set_backend(backend)
        for chain in update.chains:
            self._set_chain(chain)
        self.index = update.index

    def _set_backend(self, backend: wire.Backend) -> None:
        self._remove_backend(backend.agent_id)
        self._backends[backend.agent_id] = backend
        if backend.kind == wire.SERVICE:
            self._by_service.add(backend.service, backend.agent_id, backend)

    def _remove_backend(self, agent_id: str) -> None:
        old = self._backends.pop(agent_id, None)
        if old is not None and old.kind == wire.SERVICE:
            self._by_service.remove(old.service, agent_id)

    def _set_chain(self, chain: wire.Chain) -> None:
        self._remove_chain(chain.chain_id)
        self._chains[chain.chain_id] = chain
        self._by_pipeline.add(chain.pipeline, chain.chain_id, chain)

    def _remove_chain(self, chain_id: str) -> None:
        old = self._chains.pop(chain_id, None)
        if old is not None:
            self._by_pipeline.remove(old.pipeline, chain_id)
