"""Pipeline replicas (chains): their stages, epochs and readiness."""

__all__ = ["Chains"]

from collections import OrderedDict
from collections.abc import Iterator

from wigeonscale.errors import ErrorKind
from wigeonscale.state.members import Members
from wigeonscale.state.results import done, refused
from wigeonscale.wire import wire_pb2 as wire

USED_CHAIN_IDS_LIMIT = 32_768


class Chains:
    """Active chains, and successors that are not ready yet.

    A new version of a chain becomes active immediately unless the active version is
    still ready. In that case it is kept as the successor until its engines have loaded
    their layers, so that a planned replacement interrupts no request.

    Args:
        members: The announced backend servers; only read.
    """

    def __init__(self, *, members: Members):
        self._members = members
        self._chains: dict[str, wire.Chain] = {}
        self._successors: dict[str, wire.Chain] = {}
        self._by_agent: dict[str, dict[str, None]] = {}
        self._used_chain_ids: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[wire.Chain]:
        return iter(self._chains.values())

    def __len__(self) -> int:
        return len(self._chains)

    def get(self, chain_id: str) -> wire.Chain | None:
        """Return the active chain with an id, or None.

        Args:
            chain_id: Id of the chain.

        Returns:
            The stored chain; callers must not modify it.
        """
        return self._chains.get(chain_id)

    def planned(self) -> list[wire.Chain]:
        """Return each chain as last planned by placement, sorted by id.

        A chain with a successor is listed as the successor.
        """
        return [
            self._successors.get(chain_id, chain)
            for chain_id, chain in sorted(self._chains.items())
        ]

    def chains_of_agent(self, agent_id: str) -> list[wire.Chain]:
        """Return the planned chains that have a stage on an agent.

        Args:
            agent_id: Name of the backend server.

        Returns:
            Usually zero or one chain.
        """
        ids = self._by_agent.get(agent_id, ())
        planned = [self._successors.get(i, self._chains[i]) for i in ids]
        return [chain for chain in planned if _stage_of(chain, agent_id) is not None]

    def is_loaded(self, chain: wire.Chain, stage: wire.Stage) -> bool:
        """Return whether the engine of a stage has loaded what the chain needs.

        Args:
            chain: The chain of the stage.
            stage: One of its stages.

        Returns:
            True if the stage's incarnation is announced with the model, layers, version
            and adapter of the chain.
        """
        member = self._members.get(stage.agent_id)
        if member is None or member.backend.incarnation != stage.incarnation:
            return False
        backend = member.backend
        return (
            backend.model == chain.model
            and backend.first_layer == stage.first_layer
            and backend.last_layer == stage.last_layer
            and (not chain.version or backend.version == chain.version)
            and (not chain.adapter or chain.adapter in backend.adapters)
        )

    def place(
        self, command: wire.PlaceChains, now_ms: int
    ) -> tuple[wire.CommandResult, set[str]]:
        """Apply a plan atomically: all of it or nothing.

        A retired chain that is ready is kept as retiring, so that its requests can
        finish. Any other retired chain is removed immediately.

        Args:
            command: New, changed, retired and removed chains.
            now_ms: Time of the state machine, in milliseconds.

        Returns:
            The result, and the ids of chains that changed for watchers.
        """
        retiring_ids = {i for i in command.retired if self._is_serving(i)}
        removed_ids = (set(command.removed) | set(command.retired)) - retiring_ids
        error = self._plan_error(command, removed_ids)
        if error:
            return refused(ErrorKind.BAD_REQUEST, error), set()
        changed_ids = set()
        for chain_id in sorted(removed_ids):
            self._remove(chain_id)
            changed_ids.add(chain_id)
        for chain_id in sorted(retiring_ids):
            self._retire(chain_id, now_ms)
            changed_ids.add(chain_id)
        for chain in command.chains:
            if self._set(chain):
                changed_ids.add(chain.chain_id)
        return done(), changed_ids

    def refresh(self, agent_id: str) -> set[str]:
        """Recompute readiness after a change of one agent.

        Args:
            agent_id: Name of the backend server that changed or was removed.

        Returns:
            Ids of chains that changed for watchers.
        """
        ids = list(self._by_agent.get(agent_id, ()))
        return {chain_id for chain_id in ids if self._refresh(chain_id)}

    def _plan_error(self, command, removed_ids):
        assigned = self._agents_of_other_chains(command, removed_ids)
        seen = set()
        for chain in command.chains:
            if chain.chain_id in seen or not chain.stages or not chain.chain_id:
                return f"chain {chain.chain_id!r} has no id or stages, or stands twice"
            seen.add(chain.chain_id)
            if chain.chain_id in self._used_chain_ids or chain.chain_id in removed_ids:
                return f"chain id {chain.chain_id!r} was removed; ids are not reused"
            if chain.chain_id in command.retired or self._is_retiring(chain.chain_id):
                return f"chain {chain.chain_id!r} is retiring"
            if chain.epoch <= self._last_epoch(chain.chain_id):
                return f"chain {chain.chain_id!r} has no newer epoch: {chain.epoch}"
            error = self._stages_error(chain, assigned)
            if error:
                return error
        return ""

    def _agents_of_other_chains(self, command, removed_ids):
        changed = {chain.chain_id for chain in command.chains} | removed_ids
        return {
            agent_id
            for agent_id, ids in self._by_agent.items()
            if any(chain_id not in changed for chain_id in ids)
        }

    def _stages_error(self, chain, assigned):
        next_layer = 0
        for stage in chain.stages:
            if not self._members.is_announced(stage.agent_id, stage.incarnation):
                return f"{stage.agent_id!r}/{stage.incarnation} is not announced"
            if stage.agent_id in assigned:
                return f"agent {stage.agent_id!r} would be a stage of two chains"
            if stage.first_layer != next_layer or stage.last_layer < next_layer:
                return f"chain {chain.chain_id!r} misses or repeats layer {next_layer}"
            next_layer = stage.last_layer + 1
            assigned.add(stage.agent_id)
        return ""

    def _last_epoch(self, chain_id):
        if chain_id not in self._chains:
            return 0
        latest = self._successors.get(chain_id, self._chains[chain_id])
        return latest.epoch

    def _set(self, chain):
        """Store a chain and return whether it became active."""
        chain_id = chain.chain_id
        chain = _copy(chain, ready=self._is_ready(chain))
        current = self._chains.get(chain_id)
        self._unindex(chain_id)
        self._successors.pop(chain_id, None)
        is_deferred = (
            current is not None
            and not chain.ready
            and self._can_serve_until_ready(current, chain)
        )
        if is_deferred:
            self._successors[chain_id] = chain
        else:
            self._chains[chain_id] = chain
        self._index(chain_id)
        return not is_deferred

    def _can_serve_until_ready(self, current, successor):
        """Return whether the current chain can serve until the successor is ready.

        It cannot if the successor needs other layers of one of its engines.
        """
        if not self._is_ready(current):
            return False
        current_stages = {s.agent_id: s for s in current.stages}
        return all(
            stage.agent_id not in current_stages
            or _same_layers(stage, current_stages[stage.agent_id])
            for stage in successor.stages
        )

    def _refresh(self, chain_id):
        successor = self._successors.get(chain_id)
        current = self._chains[chain_id]
        ready = self._is_ready(current)
        if successor is not None and (self._is_ready(successor) or not ready):
            self._unindex(chain_id)
            del self._successors[chain_id]
            self._chains[chain_id] = _copy(successor, ready=self._is_ready(successor))
            self._index(chain_id)
            return True
        if current.ready == ready:
            return False
        self._chains[chain_id] = _copy(current, ready=ready)
        return True

    def _is_ready(self, chain):
        return all(self.is_loaded(chain, stage) for stage in chain.stages)

    def _is_serving(self, chain_id):
        chain = self._chains.get(chain_id)
        return chain is not None and self._is_ready(chain)

    def _is_retiring(self, chain_id):
        chain = self._chains.get(chain_id)
        return chain is not None and chain.retiring

    def _retire(self, chain_id, now_ms):
        if self._is_retiring(chain_id):
            return
        chain = _copy(self._chains[chain_id], ready=True)
        chain.retiring = True
        chain.retired_ms = now_ms
        self._unindex(chain_id)
        self._successors.pop(chain_id, None)
        self._chains[chain_id] = chain
        self._index(chain_id)

    def _remove(self, chain_id):
        if chain_id not in self._chains:
            return
        self._unindex(chain_id)
        del self._chains[chain_id]
        self._successors.pop(chain_id, None)
        self._used_chain_ids[chain_id] = None
        if len(self._used_chain_ids) > USED_CHAIN_IDS_LIMIT:
            self._used_chain_ids.popitem(last=False)

    def _versions(self, chain_id):
        versions = (self._chains.get(chain_id), self._successors.get(chain_id))
        return [chain for chain in versions if chain is not None]

    def _index(self, chain_id):
        for chain in self._versions(chain_id):
            for stage in chain.stages:
                self._by_agent.setdefault(stage.agent_id, {})[chain_id] = None

    def _unindex(self, chain_id):
        for chain in self._versions(chain_id):
            for stage in chain.stages:
                ids = self._by_agent.get(stage.agent_id, {})
                ids.pop(chain_id, None)
                if not ids:
                    self._by_agent.pop(stage.agent_id, None)

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for chain_id, chain in sorted(self._chains.items()):
            successor = self._successors.get(chain_id)
            snapshot.chains.add(chain=chain, successor=successor)
        snapshot.used_chain_ids.extend(self._used_chain_ids)

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self._chains.clear()
        self._successors.clear()
        self._by_agent.clear()
        self._used_chain_ids = OrderedDict.fromkeys(snapshot.used_chain_ids)
        for record in snapshot.chains:
            chain_id = record.chain.chain_id
            self._chains[chain_id] = record.chain
            if record.HasField("successor"):
                self._successors[chain_id] = record.successor
            self._index(chain_id)


def _stage_of(chain: wire.Chain, agent_id: str) -> wire.Stage | None:
    return next((s for s in chain.stages if s.agent_id == agent_id), None)


def _same_layers(stage: wire.Stage, other: wire.Stage) -> bool:
    return (stage.first_layer, stage.last_layer) == (
        other.first_layer,
        other.last_layer,
    )


def _copy(chain: wire.Chain, *, ready: bool) -> wire.Chain:
    copy = wire.Chain()
    copy.CopyFrom(chain)
    copy.ready = ready
    return copy
