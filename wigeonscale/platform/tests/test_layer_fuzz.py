"""Random configurations and heartbeats, from the documents to the orders.

Guards against a configuration or heartbeat that ends each leader that plans with it.
"""

import asyncio
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.control.tests.layer_assigner_case import LayerAssignerCase
from wigeonscale.platform.documents import read_route_table
from wigeonscale.platform.heartbeats import read_heartbeat
from wigeonscale.platform.tests.support import document
from wigeonscale.ports.orders import OrderOutcome
from wigeonscale.wire import wire_pb2 as wire

SETTINGS = settings(derandomize=True, deadline=None, max_examples=200, database=None)
KINDS = ("big", "small", "dropped")
LARGE = 2**31 - 1
# Read as infinity.
HUGE_FLOAT = 1e999
layer_counts = st.one_of(
    st.integers(1, 12), st.sampled_from((0, -1, -80, 80, 4096, LARGE, 10**30))
)
amounts = st.one_of(
    st.floats(0.5, 2000.0),
    st.sampled_from((0.0, -1.0, 1e-320, 1e308, HUGE_FLOAT, -HUGE_FLOAT, float("nan"))),
)
slot_counts = st.sampled_from((0, 1, 96, -1, LARGE, 10**400))
engines = st.fixed_dictionaries(
    {},
    optional={
        "layers": layer_counts,
        "layer-mb": amounts,
        "kv-token-bytes": st.one_of(amounts, st.just(1e7)),
        "kv-capacity": amounts,
        "slots": slot_counts,
        "step_ms": amounts,
        "per_seq_ms": amounts,
        "context_per_k": amounts,
        "usual": st.fixed_dictionaries({"prompt": amounts, "answer": amounts}),
        "kinds": st.lists(
            st.fixed_dictionaries(
                {"name": st.sampled_from(KINDS[:2]), "size-mb": amounts},
                optional={"pace": amounts},
            ),
            max_size=2,
        ),
    },
)
SOUND_ENGINE = {
    "layers": 10,
    "layer-mb": 100.0,
    "kv-token-bytes": 1e7,
    "kv-capacity": 100.0,
    "kinds": [{"name": "big", "size-mb": 1000.0}, {"name": "small", "size-mb": 300.0}],
}
# Mostly sound, so that single values out of range are not hidden by others.
models = st.one_of(
    engines,
    engines.map(lambda engine: SOUND_ENGINE | engine),
    st.builds(
        lambda key, engine: (
            SOUND_ENGINE | {k: v for k, v in engine.items() if k == key}
        ),
        st.sampled_from(sorted(SOUND_ENGINE)),
        engines,
    ),
)
layer_numbers = st.one_of(st.integers(0, 14), st.sampled_from((80, 4096, LARGE)))
heartbeats = st.fixed_dictionaries(
    {
        "name": st.sampled_from(("e1", "e2", "e3", "e4", "e5", "e6")),
        "service": st.sampled_from(("m", "m", "m", "other")),
        "zone": st.sampled_from("ab"),
        "state": st.sampled_from(("ready", "ready", "ready", "draining")),
        "kind": st.sampled_from(KINDS),
        "layers": st.fixed_dictionaries(
            {}, optional={"from": layer_numbers, "to": layer_numbers}
        ),
    }
)


def read_table(number, services):
    return read_route_table(
        document(
            version=number,
            routes=[],
            services=[
                {"name": name, "engine": engine} for name, engine in services.items()
            ],
        )
    )


def read_backend(fields, sequence):
    name = fields["name"]
    content = fields | {
        "address": f"10.0.0.{name[1:]}:80",
        "slots": 8,
        "models": [],
        "seq": sequence,
    }
    return read_heartbeat(name, json.dumps(content).encode()).backend


class LayerFuzzTest(LayerAssignerCase):
    @SETTINGS
    @given(
        st.lists(
            st.one_of(
                heartbeats,
                heartbeats,
                heartbeats,
                st.fixed_dictionaries({"m": models}, optional={"other": models}),
                st.just({}),
                st.sampled_from(OrderOutcome),
            ),
            min_size=1,
            max_size=25,
        )
    )
    def test_nothing_ends_the_assigner(self, script):
        asyncio.run(self.play(script))

    async def play(self, script):
        self.start()
        self.table = read_table(1, {"m": SOUND_ENGINE})
        try:
            for number, step in enumerate(script, start=2):
                await self.play_step(number, step)
                await self.clock.advance(1.0)
                self.assert_running()
                self.check_orders()
            await self.clock.advance(15.0)
            self.assert_running()
            self.check_orders()
        finally:
            await self.stop()

    async def play_step(self, number, step):
        if isinstance(step, OrderOutcome):
            self.engines.outcomes = dict.fromkeys(
                [f"10.0.0.{engine}:80" for engine in (1, 3, 5)], step
            )
        elif "name" in step:
            self.engines.outcomes = {}
            backend = read_backend(step, number)
            announce = wire.Announce(backend=backend, replica="c1", sequence=number)
            await self.replica.propose(
                wire.Command(announce=announce).SerializeToString()
            )
        else:
            self.table = read_table(number, step)

    def assert_running(self):
        if self.task.done():
            self.task.result()
            raise AssertionError("the assigner has ended")
        self.assertEqual([], self.take_step_failures())

    def check_orders(self):
        """Check that engines were ordered layers that the model has and they hold."""
        backends = {m.backend.address: m.backend for m in self.state.members}
        for address, first, end, *_ in self.engines.orders:
            backend = backends[address]
            engine = self.table.services[backend.service].engine
            size_mb = engine.accelerators[backend.accelerator].size_mb
            self.assertTrue(0 <= first < end <= engine.layers, (first, end))
            self.assertTrue((end - first) * engine.layer_mb <= size_mb, (first, end))
        self.engines.orders.clear()
