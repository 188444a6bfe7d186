"""Engines of a scenario, with layers assigned by the router's own planner."""

__all__ = ["plan_engines"]

from wigeonscale.control.model_sizes import model_size
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.lab.engines import SimulatedEngine
from wigeonscale.lab.scenario import Scenario
from wigeonscale.layers import Holder, LayerRange, plan_layers


def plan_engines(scenario: Scenario) -> dict[str, SimulatedEngine]:
    """Return the engines by backend id, with layers planned from an empty fleet.

    Args:
        scenario: Gives the number of engines by domain and kind of accelerator.
    """
    holders = _holders(scenario)
    planned_layers = plan_layers(
        [holder for _, holder in holders], model_size(scenario.model)
    )
    return {
        holder.backend_id: SimulatedEngine(
            server=BackendServer(
                backend_id=holder.backend_id,
                service="model",
                address=holder.backend_id,
                domain=holder.domain,
                accelerator=kind,
                layers=planned_layers.get(holder.backend_id, LayerRange(0, 0)),
                slots=scenario.model.slots,
            ),
            profile=scenario.model,
        )
        for kind, holder in holders
    }


def _holders(scenario: Scenario) -> list[tuple[str, Holder]]:
    kinds = scenario.model.accelerators
    return [
        (
            kind,
            Holder(
                backend_id=f"{domain}-{kind}-{number}",
                domain=domain,
                size_mb=kinds[kind].size_mb,
                pace=kinds[kind].pace,
            ),
        )
        for domain, counts in scenario.engines.items()
        for kind, count in counts.items()
        for number in range(count)
    ]
