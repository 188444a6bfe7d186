"""Load orders to agents, derived from the committed state only."""

__all__ = ["load_orders"]

from wigeonscale.placement import order_loads, preload_spares
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

# Spares load only if at least this many concurrent loads are allowed.
MIN_LOADS_FOR_SPARES = 2
SPARE_CHAIN_ID = "spare"
"""Used instead of a chain id in the load orders of spares."""


def load_orders(state: ControlState, *, max_loads: int) -> dict[str, wire.LoadLayers]:
    """Return the weight loads that may run now, by agent id.

    Args:
        state: Replicated state.
        max_loads: Maximum number of concurrent loads; limits the traffic of the weight
            store.

    Returns:
        At most ``max_loads`` orders. The next one is released when a loaded range is
        announced or when its agent is gone. If no chain waits for a load, spares load,
        one after the other, the layers of stages that they may have to replace.

    Notes:
        The cost is one pass over all stages.
    """
    orders = {}
    chains = [chain for chain in state.chains.planned() if not chain.retiring]
    loading = {m.backend.agent_id for m in state.members if m.backend.loading}
    ranked = order_loads(chains, is_loaded=state.chains.is_loaded, loading=loading)
    # Loads that are no longer needed still use bandwidth of the weight store.
    free_slots = max_loads - len(loading - {stage.agent_id for _, stage in ranked})
    for chain, stage in ranked:
        if len(orders) >= free_slots:
            break
        if state.members.is_announced(stage.agent_id, stage.incarnation):
            orders.setdefault(stage.agent_id, _load(chain, stage))
    # A repair must not wait for the load of a spare.
    if not ranked and max_loads >= MIN_LOADS_FOR_SPARES:
        return _spare_orders(state, chains, loading)
    return orders


def _spare_orders(state, chains, loading):
    """Return the spares' loads in progress, or the next one if there are none."""
    ranked = preload_spares(
        chains,
        _spares(state),
        holds=lambda spare, chain, stage: state.chains.is_loaded(
            chain, _stage_on(spare, stage)
        ),
        region_of=lambda chain: _region(state, chain),
        loading=loading,
    )
    orders = {}
    # Spares that are already loading are ranked first.
    for spare, chain, stage in ranked:
        if loading and spare.agent_id not in loading:
            break
        orders[spare.agent_id] = _load(chain, stage, chain_id=SPARE_CHAIN_ID)
        if not loading:
            break
    return orders


def _spares(state):
    used = {
        stage.agent_id
        for chain in (*state.chains, *state.chains.planned())
        for stage in chain.stages
    }
    backends = (member.backend for member in state.members)
    return [
        backend
        for backend in backends
        if backend.kind == wire.ENGINE
        and backend.agent_id not in used
        and backend.layer_rate > 0
        and backend.link_rate > 0
        and not backend.draining
        and not state.members.is_drained(backend.agent_id)
    ]


def _region(state, chain):
    member = state.members.get(chain.stages[0].agent_id)
    return member.backend.region if member is not None else ""


def _stage_on(spare, stage):
    return wire.Stage(
        agent_id=spare.agent_id,
        incarnation=spare.incarnation,
        first_layer=stage.first_layer,
        last_layer=stage.last_layer,
    )


def _load(chain, stage, *, chain_id=None):
    return wire.LoadLayers(
        chain_id=chain.chain_id if chain_id is None else chain_id,
        epoch=chain.epoch,
        model=chain.model,
        version=chain.version,
        adapter=chain.adapter,
        first_layer=stage.first_layer,
        last_layer=stage.last_layer,
    )
