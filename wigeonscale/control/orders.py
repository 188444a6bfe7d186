"""Orders to agents, derived from the committed state alone."""

__all__ = ["load_orders", "loads_due"]

from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire


def loads_due(state: ControlState) -> list[tuple[wire.Chain, wire.Stage]]:
    """Return the stages that have yet to load their layers, most useful first.

    Chains of pipelines without a ready chain go first, among these the ones that
    lack least: they serve waiting requests soonest.

    Args:
        state: The replicated state.

    Returns:
        Stages with their chains, equal on every replica with an equal state.

    Notes:
        Costs one pass over all stages.
    """
    served = {chain.pipeline for chain in state.chains if chain.ready}
    ranked = []
    for chain in state.chains.planned():
        missing = [s for s in chain.stages if not state.chains.is_loaded(chain, s)]
        if missing:
            rank = (chain.pipeline in served, len(missing), chain.chain_id)
            ranked.append((rank, chain, missing))
    ranked.sort(key=lambda item: item[0])
    return [(chain, stage) for _, chain, missing in ranked for stage in missing]


def load_orders(state: ControlState, *, loads: int) -> dict[str, wire.LoadLayers]:
    """Return the weight loads released now, by agent.

    Args:
        state: The replicated state.
        loads: Most loads in progress at once, for the weight store's sake.

    Returns:
        At most ``loads`` orders. The next is released when a loaded range is
        announced, or when its agent is gone.
    """
    orders = {}
    for chain, stage in loads_due(state):
        if len(orders) >= loads:
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
