"""Orders to agents, derived from the committed state alone."""

__all__ = ["load_orders"]

from wigeonscale.placement import order_loads
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire


def load_orders(state: ControlState, *, loads: int) -> dict[str, wire.LoadLayers]:
    """Return the weight loads released now, by agent.

    Args:
        state: The replicated state.
        loads: Most loads in progress at once, for the weight store's sake.

    Returns:
        At most ``loads`` orders. The next is released when a loaded range is
        announced, or when its agent is gone.

    Notes:
        Costs one pass over all stages.
    """
    orders = {}
    chains = [chain for chain in state.chains.planned() if not chain.retiring]
    loading = {m.backend.agent_id for m in state.members if m.backend.loading}
    ranked = order_loads(chains, is_loaded=state.chains.is_loaded, loading=loading)
    # Loads that nobody waits for any more take from the store all the same.
    room = loads - len(loading - {stage.agent_id for _, stage in ranked})
    for chain, stage in ranked:
        if len(orders) >= room:
            break
        if state.members.holds(stage.agent_id, stage.incarnation):
            orders.setdefault(stage.agent_id, _load(chain, stage))
    return orders


def _load(chain, stage):
    return wire.LoadLayers(
        chain_id=chain.chain_id,
        epoch=chain.epoch,
        model=chain.model,
        version=chain.version,
        adapter=chain.adapter,
        first_layer=stage.first_layer,
        last_layer=stage.last_layer,
    )
