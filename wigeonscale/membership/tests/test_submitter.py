import asyncio
import gc
import random
from unittest import mock

from testtools import ExpectedException

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.membership.submitter import Submitter
from wigeonscale.membership.tests.fake_control import FakeControlCase
from wigeonscale.wire import wire_pb2 as wire


def reply_with(**fields):
    def reply(req):
        return wire.SubmitReply(
            call_id=req.call_id, result=wire.CommandResult(**fields)
        )

    return reply


def not_leader(leader=""):
    def reply(req):
        result = wire.CommandResult(kind="not-leader")
        return wire.SubmitReply(call_id=req.call_id, result=result, leader=leader)

    return reply


class BlockedCall:
    """A call whose writes last until it is cancelled, and then fail as in gRPC."""

    def __init__(self):
        self.is_writing = asyncio.Event()
        self._is_cancelled = asyncio.Event()

    async def write(self, req):
        self.is_writing.set()
        await self._is_cancelled.wait()
        raise asyncio.CancelledError

    def cancel(self):
        self._is_cancelled.set()


class SubmitterTest(FakeControlCase):
    def new_submitter(self, *addresses):
        submitter = Submitter(
            addresses=addresses, clock=self.clock, rng=random.Random(1)
        )
        self.addCleanup(submitter.close)
        # The constructor shuffles the addresses; the scripts below need this order.
        submitter._addresses[:] = addresses
        submitter._target = addresses[0]
        return submitter

    async def result_of(self, submitter, command=None, *, silent=None):
        """Submit a command and return the result or the error.

        The clock advances only while nothing is connecting or pending, except commands
        pending at the silent replica, so that the test does not depend on speed.
        """

        def may_advance():
            stream = submitter._stream
            if submitter._connect_lock.locked():
                return False
            if stream is None or not stream._pending:
                return True
            return silent is not None and stream.address == silent.address

        task = asyncio.create_task(submitter.submit(command or wire.Command()))
        while not task.done():
            if may_advance() and (silent is None or silent.commands):
                await self.clock.advance(0.05)
            await asyncio.sleep(0.002)
        return task.exception() or task.result()

    async def test_concurrent_commands_share_one_stream(self):
        (fake,) = await self.start_fakes()
        received = []
        fake.on_command = received.append
        submitter = self.new_submitter(fake.address)
        tasks = [
            asyncio.create_task(submitter.submit(wire.Command(operation_id=f"op{n}")))
            for n in range(5)
        ]
        await self.until(lambda: len(received) == 5)
        for req in reversed(received):
            index = int(req.command.operation_id[2:])
            await fake.reply(reply_with(index=index)(req))
        results = await self.within_limit(asyncio.gather(*tasks))
        self.assertEqual([0, 1, 2, 3, 4], [each.index for each in results])

    async def test_follows_the_leader(self):
        follower, leader = await self.start_fakes(2)
        follower.on_command = not_leader(leader.address)
        leader.on_command = reply_with(index=8)
        submitter = self.new_submitter(follower.address, follower.address)
        self.assertEqual(8, (await self.result_of(submitter)).index)
        self.assertEqual(8, (await self.result_of(submitter)).index)
        self.assertEqual((1, 2), (len(follower.commands), len(leader.commands)))

    async def test_retries_with_the_same_operation_id(self):
        lost, other = await self.start_fakes(2)
        lost.on_command = lambda req: 1 / 0
        submitter = self.new_submitter(lost.address, other.address)
        await self.result_of(submitter)
        sent = [each.operation_id for each in lost.commands + other.commands]
        self.assertEqual(2, len(sent))
        self.assertEqual(1, len(set(sent)))
        self.assertNotEqual("", sent[0])

    async def test_stream_closed_during_a_write_cancels_no_command(self):
        """Guards against callers that are cut off when the leader changes."""
        (fake,) = await self.start_fakes()
        fake.on_command = reply_with(index=8)
        submitter = self.new_submitter(fake.address)
        await self.result_of(submitter)
        stream = submitter._stream
        stream._call.cancel()
        stream._call = BlockedCall()
        with mock.patch.object(type(stream), "is_open", True):
            task = asyncio.create_task(submitter.submit(wire.Command()))
            await stream._call.is_writing.wait()
        # As after an answer to another command that names the new leader.
        await submitter._switch_to(stream, fake.address)
        await self.advance_until(task.done)
        self.assertFalse(task.cancelled())
        self.assertEqual(8, task.result().index)

    async def test_cancelled_command_stays_cancelled(self):
        (fake,) = await self.start_fakes()
        fake.on_command = lambda req: None
        submitter = self.new_submitter(fake.address)
        task = asyncio.create_task(submitter.submit(wire.Command()))
        await self.until(lambda: fake.commands)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(task.cancelled())

    async def test_silent_stream_is_replaced_by_the_next_replica(self):
        silent, other = await self.start_fakes(2)
        silent.on_command = lambda req: None
        submitter = self.new_submitter(silent.address, other.address)
        command = wire.Command(operation_id="op")
        result = await self.result_of(submitter, command, silent=silent)
        self.assertEqual(wire.CommandResult(), result)
        self.assertEqual(
            ["op", "op"],
            [each.operation_id for each in silent.commands + other.commands],
        )

    async def test_stream_lost_during_a_write_leaves_no_unretrieved_exception(self):
        broken, other = await self.start_fakes(2)
        submitter = self.new_submitter(broken.address, other.address)
        await self.result_of(submitter)
        unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        stream = submitter._stream

        async def write(req):
            await broken.stop()
            await stream._reader
            raise asyncio.InvalidStateError("the call ended")

        with mock.patch.object(stream._call, "write", write):
            await self.result_of(submitter)
        self.assertEqual(1, len(other.commands))
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual([], unhandled)

    async def test_slow_command_does_not_close_a_stream_with_replies(self):
        (fake,) = await self.start_fakes()
        received = []
        fake.on_command = received.append
        submitter = self.new_submitter(fake.address)
        slow = asyncio.create_task(submitter.submit(wire.Command(operation_id="slow")))
        await self.until(lambda: received)
        stream = submitter._stream
        await self.clock.advance(0.9)
        other = asyncio.create_task(submitter.submit(wire.Command()))
        await self.until(lambda: len(received) == 2)
        await fake.reply(reply_with(index=2)(received[1]))
        self.assertEqual(2, (await self.within_limit(other)).index)
        await self.clock.advance(0.2)
        await self.until(lambda: len(received) == 3)
        await fake.reply(reply_with(index=1)(received[2]))
        self.assertEqual(1, (await self.within_limit(slow)).index)
        self.assertIs(stream, submitter._stream)
        sent = [each.operation_id for each in fake.commands]
        self.assertEqual(["slow", "slow"], [sent[0], sent[2]])

    async def test_unreachable_replica_is_skipped(self):
        unreachable, other = await self.start_fakes(2)
        await unreachable.stop()
        submitter = self.new_submitter(unreachable.address, other.address)
        self.assertEqual(wire.CommandResult(), await self.result_of(submitter))

    async def expect_no_quorum(self, submitter, run_state):
        exc = await self.result_of(submitter)
        self.assertIsInstance(exc, WigeonscaleError)
        self.assertEqual((ErrorKind.NO_QUORUM, run_state), (exc.kind, exc.run_state))

    async def test_never_sent_is_not_run(self):
        (fake,) = await self.start_fakes()
        await fake.stop()
        submitter = self.new_submitter(fake.address)
        await self.expect_no_quorum(submitter, RunState.NOT_RUN)

    async def test_refused_by_followers_only_is_not_run(self):
        (fake,) = await self.start_fakes()
        fake.on_command = not_leader()
        submitter = self.new_submitter(fake.address)
        await self.expect_no_quorum(submitter, RunState.NOT_RUN)

    async def test_lost_without_a_reply_is_unknown(self):
        lost, follower = await self.start_fakes(2)
        lost.on_command = lambda req: 1 / 0
        follower.on_command = not_leader()
        submitter = self.new_submitter(lost.address, follower.address)
        await self.expect_no_quorum(submitter, RunState.UNKNOWN)

    async def test_no_quorum_at_the_leader_is_unknown(self):
        (fake,) = await self.start_fakes()
        fake.on_command = reply_with(kind="no-quorum")
        submitter = self.new_submitter(fake.address)
        await self.expect_no_quorum(submitter, RunState.UNKNOWN)

    async def test_refusal_is_raised(self):
        (fake,) = await self.start_fakes()
        fake.on_command = reply_with(kind="revision-conflict", message="3 is not 4")
        submitter = self.new_submitter(fake.address)
        exc = await self.result_of(submitter)
        want = (ErrorKind.REVISION_CONFLICT, "3 is not 4", RunState.NOT_RUN)
        self.assertEqual(want, (exc.kind, exc.message, exc.run_state))

    async def test_internal_error_gives_run_state_unknown(self):
        (fake,) = await self.start_fakes()
        fake.on_command = reply_with(kind="internal")
        exc = await self.result_of(self.new_submitter(fake.address))
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_existing_claim_is_returned(self):
        (fake,) = await self.start_fakes()
        record = wire.ClaimRecord(state=wire.RAN)
        fake.on_command = reply_with(claim=record, granted=False)
        submitter = self.new_submitter(fake.address)
        self.assertEqual(wire.RAN, (await self.result_of(submitter)).claim.state)

    async def test_reused_key_is_raised(self):
        (fake,) = await self.start_fakes()
        record = wire.ClaimRecord(state=wire.RAN)
        fake.on_command = reply_with(claim=record, kind="idempotency-key-reused")
        exc = await self.result_of(self.new_submitter(fake.address))
        self.assertIsInstance(exc, WigeonscaleError)
        self.assertEqual(ErrorKind.IDEMPOTENCY_KEY_REUSED, exc.kind)

    async def test_closed_submitter_refuses(self):
        (fake,) = await self.start_fakes()
        submitter = self.new_submitter(fake.address)
        await submitter.close()
        with ExpectedException(WigeonscaleError, "command .*: client closed"):
            await self.within_limit(submitter.submit(wire.Command()))
        self.assertEqual([], fake.commands)
