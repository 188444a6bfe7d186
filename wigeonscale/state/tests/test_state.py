"""Property tests of determinism, snapshots and invalid input."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.state.tests.support import DOCUMENT, Machine, chain, engine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

FUZZ = settings(derandomize=True, deadline=None, max_examples=150, database=None)

agents = st.sampled_from(["a", "b", "s"])
incarnations = st.integers(1, 2)
keys = st.sampled_from(["k", "l"])
dispatches = st.sampled_from(["d1", "d2"])


def _commands():
    announces = st.builds(
        lambda agent, inc, layers, replica: {
            "announce": wire.Announce(
                backend=engine(agent, inc, layers=layers), replica=replica
            )
        },
        agents,
        incarnations,
        st.sampled_from([(0, -1), (0, 1), (2, 3)]),
        st.sampled_from(["c1", "c2"]),
    )
    ends = st.builds(
        lambda agent, inc, replica: {
            "end_incarnation": wire.EndIncarnation(
                agent_id=agent, incarnation=inc, replica=replica
            )
        },
        agents,
        incarnations,
        st.sampled_from(["", "c1"]),
    )
    claims = st.builds(
        lambda key, dispatch, agent, inc: {
            "claim": wire.Claim(
                organisation="o",
                key=key,
                dispatch_id=dispatch,
                agent_id=agent,
                agent_incarnation=inc,
            )
        },
        keys,
        dispatches,
        agents,
        incarnations,
    )
    outcomes = st.builds(
        lambda key, dispatch, not_run, state: {
            "outcome": wire.Outcome(
                organisation="o",
                key=key,
                dispatch_id=dispatch,
                not_run=not_run,
                state=state,
            )
        },
        keys,
        dispatches,
        st.booleans(),
        st.integers(0, 4),
    )
    places = st.builds(
        lambda base, epoch, second: {
            "place": wire.PlaceChains(
                base_index=base,
                chains=[chain("c", epoch, ("a", 0, 1), (second, 2, 3))],
            )
        },
        st.integers(0, 6),
        st.integers(1, 3),
        agents,
    )
    configs = st.builds(
        lambda base, number: {
            "apply_config": wire.ApplyConfig(
                base_revision=base, document=DOCUMENT + f"\n[service s{number}]\n"
            )
        },
        st.integers(0, 3),
        st.integers(0, 2),
    )
    others = st.sampled_from(
        [
            {"drain": wire.DrainBackend(agent_id="a", draining=True)},
            {"drain": wire.DrainBackend(agent_id="a")},
            {"expire": wire.ExpireClaims(before_wall_ms=40)},
            {},
        ]
    )
    return st.one_of(announces, ends, claims, outcomes, places, configs, others)


steps = st.lists(
    st.tuples(_commands(), st.integers(0, 100), st.sampled_from(["", "x", "y"])),
    max_size=25,
)


class DeterminismTest(AsyncTestCase):
    @FUZZ
    @given(steps, st.integers(0, 25))
    def test_restored_replica_goes_on_alike(self, commands, cut):
        one, other = Machine(), Machine()
        for number, (body, wall_ms, operation_id) in enumerate(commands):
            if number == cut:
                other = Machine()
                other.state.restore(one.state.snapshot())
            fields = {"operation_id": operation_id, "wall_ms": wall_ms, **body}
            self.assertEqual(one.run(**fields), other.run(**fields))
            self.assertEqual(one.state.snapshot(), other.state.snapshot())

    @FUZZ
    @given(steps)
    def test_ready_chains_have_every_stage_loaded(self, commands):
        machine = Machine()
        state = machine.state
        for body, wall_ms, _ in commands:
            machine.run(wall_ms=wall_ms, **body)
            for each in state.chains:
                loaded = all(state.chains.is_loaded(each, s) for s in each.stages)
                self.assertEqual(loaded, each.ready)

    def test_snapshot_of_a_changed_state_differs(self):
        machine = Machine()
        before = machine.state.snapshot()
        machine.announce("a")
        self.assertNotEqual(before, machine.state.snapshot())


class FuzzTest(AsyncTestCase):
    @FUZZ
    @given(st.lists(st.binary(max_size=200), max_size=5))
    def test_any_bytes_give_equal_results(self, entries):
        one, other = Machine(), Machine()
        for data in entries:
            result = one.run_bytes(data)
            self.assertEqual(result, other.run_bytes(data))
        self.assertEqual(one.state.snapshot(), other.state.snapshot())

    @FUZZ
    @given(_commands(), st.binary(min_size=1, max_size=4), st.integers(0, 200))
    def test_garbled_command_does_no_harm(self, body, noise, place):
        data = wire.Command(operation_id="x", **body).SerializeToString()
        place %= len(data) + 1
        garbled = data[:place] + noise + data[place + len(noise) :]
        one, other = Machine(), Machine()
        self.assertEqual(one.run_bytes(garbled), other.run_bytes(garbled))
        self.assertEqual("", one.apply(base=one.state.configuration.revision).kind)

    def test_invalid_command_is_a_bad_request(self):
        machine = Machine()
        for data in (b"", b"\xff\xff\xff", b"\x92\x03\x00"):
            result = machine.run_bytes(data)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)
            self.assertEqual(machine.state.index, result.index)

    @FUZZ
    @given(st.binary(max_size=100))
    def test_broken_snapshot_is_refused_and_changes_nothing(self, data):
        machine = Machine()
        machine.apply()
        before = machine.state.snapshot()
        try:
            machine.state.restore(data)
        except WigeonscaleError as exc:
            self.assertEqual(ErrorKind.CORRUPT_LOG, exc.kind)
            self.assertEqual(before, machine.state.snapshot())
        else:
            self.fail(f"restored from {data!r}")

    def test_snapshot_with_a_broken_record_is_refused_and_changes_nothing(self):
        cases = [
            {"base_document": "[rule x]\nnonsense\n"},
            {"claims": [b"\xff\xff"]},
            {"operator_operations": [b"\xff\xff"]},
            {"peer_operations": [b"\xff\xff"]},
        ]
        machine = Machine()
        machine.apply(operation_id="op")
        before = machine.state.snapshot()
        for fields in cases:
            data = wire.StateSnapshot(format=1, **fields).SerializeToString()
            error = self.assertRaises(WigeonscaleError, machine.state.restore, data)
            self.assertEqual(ErrorKind.CORRUPT_LOG, error.kind)
            self.assertEqual(before, machine.state.snapshot())
