"""Random sequences of entry messages, checked against the calls of the service."""

import asyncio

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wigeonscale.agent.stream import EntryStream
from wigeonscale.agent.tests.support import FakeControl, Node, ReachableService
from wigeonscale.ports import HttpResponse
from wigeonscale.testing import AsyncTestCase, ManualClock, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire

IDS = ("d1", "d2", "")
INCARNATION = 5


class CountingService(ReachableService):
    def __init__(self):
        self.calls = []
        self.gate = asyncio.Event()

    async def call(self, method, path, headers, body, timeout_s=60.0):
        self.calls.append(path)
        await self.gate.wait()
        return HttpResponse(status=200)


def open_message(dispatch_id, incarnation, deadline_ms, once):
    return wire.DispatchRequest(
        open=wire.Open(
            dispatch_id=dispatch_id,
            agent_incarnation=incarnation,
            deadline_ms=deadline_ms,
            once=once,
            claim_key="k",
            call=wire.Call(method="POST", path=dispatch_id),
        )
    )


ids = st.sampled_from(IDS)
incarnations = st.sampled_from([INCARNATION, INCARNATION, INCARNATION, 6])
messages = st.one_of(
    st.builds(
        open_message, ids, incarnations, st.sampled_from([0, 100]), st.booleans()
    ),
    st.builds(
        lambda i, n: wire.DispatchRequest(
            seal=wire.Seal(dispatch_id=i, agent_incarnation=n)
        ),
        ids,
        incarnations,
    ),
    st.builds(lambda i: wire.DispatchRequest(cancel=wire.Cancel(dispatch_id=i)), ids),
    st.builds(
        lambda i, n: wire.DispatchRequest(
            attach=wire.Attach(dispatch_id=i, from_token=n)
        ),
        ids,
        st.integers(-2, 2),
    ),
    st.just(wire.DispatchRequest()),
)
# After a message: nothing, the service responds, time passes, or the lease is lost or
# regained.
events = st.sampled_from(["", "", "answer", "wait", "lose lease", "get lease"])
moves = st.tuples(messages, events, st.booleans())


class FuzzTest(AsyncTestCase):
    @seed(4)
    @settings(max_examples=150, deadline=None, database=None)
    @given(script=st.lists(moves, max_size=12))
    def test_said_not_run_never_runs_and_nothing_runs_twice(self, script):
        asyncio.run(self.play(script))

    async def play(self, script):
        clock = ManualClock()
        service = CountingService()
        control = FakeControl()
        node = Node(name="s0", control=control, service=service, clock=clock, slots=1)
        node.state.incarnations()[:] = [INCARNATION]
        agent = node.agent
        load = agent.current_load
        streams = [EntryStream(load=load, clock=clock) for _ in range(2)]
        said = []

        async def collect(event):
            said.extend(event.items)

        writers = [asyncio.create_task(s.write(collect)) for s in streams]
        for message, move, second in script:
            agent.dispatch_handler.handle(message, streams[second])
            if move == "answer":
                service.gate.set()
            elif move == "wait":
                await clock.advance(0.2)
            elif move:
                control.has_lease = move == "get lease"
            await asyncio.sleep(0)
            agent.dispatch_handler.sweep_once()
        service.gate.set()
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertEqual(len(set(service.calls)), len(service.calls))
        promised = {
            item.dispatch_id
            for item in said
            if item.sealed.never_ran or item.refused.run_state == "not-run"
        }
        self.assertEqual(set(), promised & set(service.calls))
        for writer in writers:
            writer.cancel()
        await asyncio.gather(*writers, return_exceptions=True)
        await node.stop()
        await rpcs_ended()
