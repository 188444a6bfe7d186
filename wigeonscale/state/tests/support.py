"""Helpers that build and apply commands, for tests of the control state."""

from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

DOCUMENT = """\
[pipeline proof]
model = m
layers = 4

[rule all]
when = always
then = route pipeline proof
"""


class Machine:
    """A control state that applies commands at consecutive log indexes."""

    def __init__(self, *, state: ControlState | None = None):
        self.state = state or ControlState()

    def run(self, *, operation_id="", wall_ms=0, **body) -> wire.CommandResult:
        command = wire.Command(operation_id=operation_id, wall_ms=wall_ms, **body)
        return self.run_bytes(command.SerializeToString())

    def run_bytes(self, data: bytes) -> wire.CommandResult:
        return self.state.apply(self.state.index + 1, 1, data)

    def announce(self, agent_id, incarnation=1, *, replica="c1", **fields):
        backend = engine(agent_id, incarnation, **fields)
        return self.run(announce=wire.Announce(backend=backend, replica=replica))

    def claim(self, key="k", *, dispatch="d1", digest=b"x", agent="a", incarnation=1):
        claim = wire.Claim(
            organisation="o",
            key=key,
            digest=digest,
            dispatch_id=dispatch,
            agent_id=agent,
            agent_incarnation=incarnation,
        )
        return self.run(claim=claim)

    def outcome(self, key="k", *, dispatch="d1", **fields):
        outcome = wire.Outcome(
            organisation="o", key=key, dispatch_id=dispatch, **fields
        )
        return self.run(outcome=outcome)

    def place(self, *chains, removed=(), retired=(), base=None):
        base = self.state.placement_index if base is None else base
        place = wire.PlaceChains(
            chains=chains, removed=removed, retired=retired, base_index=base
        )
        return self.run(place=place)

    def apply(self, document=DOCUMENT, *, base=0, operation_id="", operator=""):
        config = wire.ApplyConfig(
            base_revision=base, document=document, operator=operator
        )
        return self.run(operation_id=operation_id, apply_config=config)


def engine(
    agent_id, incarnation=1, *, layers=(0, -1), layer_capacity=4, **fields
) -> wire.Backend:
    return wire.Backend(
        agent_id=agent_id,
        incarnation=incarnation,
        kind=wire.ENGINE,
        model="m",
        layer_rate=100,
        layer_capacity=layer_capacity,
        link_rate=1000,
        first_layer=layers[0],
        last_layer=layers[1],
        **fields,
    )


def chain(chain_id, epoch, *stages, **fields) -> wire.Chain:
    """Return a chain; each stage is (agent, first layer, last layer)."""
    return wire.Chain(
        chain_id=chain_id,
        pipeline="proof",
        epoch=epoch,
        model="m",
        rate=10,
        stages=[
            wire.Stage(
                agent_id=agent, incarnation=1, first_layer=first, last_layer=last
            )
            for agent, first, last in stages
        ],
        **fields,
    )
