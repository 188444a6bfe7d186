"""Process that holds many watch streams and counts the messages on them.

Each stream has its own connection, sends a hello and then heartbeats, as entries and
agents do. Only small messages are parsed, of larger ones the bytes are counted, so that
the process itself uses little processor time.

Usage: ``python -m bench.slopes.watch_load JSON``. Answers each line on standard input
with its counts as one line of JSON, and exits when standard input is closed.
"""

__all__ = ["main"]

import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass, field

from bench.slopes.members import backend
from wigeonscale.adapters.channels import open_channel
from wigeonscale.wire import wire_pb2 as wire

WATCH = "/wigeonscale.v1.Control/Watch"
# Larger messages are complete documents or memberships.
MAX_PARSED_BYTES = 8192


@dataclass(slots=True)
class Counts:
    """Totals of all streams.

    Attributes:
        streams: Streams that have received their first lease.
        bytes_in: Message bytes received.
        messages_in: Messages received.
        bytes_out: Message bytes sent.
        messages_out: Messages sent.
        config_bytes: Bytes of small messages with a configuration delta.
        member_bytes: Bytes of small messages with a membership delta.
        large_bytes: Bytes of complete documents and memberships.
        members_index: Log index of the first complete membership received.
        all_leased_at: Time of the latest first lease, in monotonic seconds.
        reached: For each revision the number of streams that have it, and the time at
            which the last one received it.
    """

    streams: int = 0
    bytes_in: int = 0
    messages_in: int = 0
    bytes_out: int = 0
    messages_out: int = 0
    config_bytes: int = 0
    member_bytes: int = 0
    large_bytes: int = 0
    members_index: int = 0
    all_leased_at: float = 0.0
    reached: dict[int, tuple[int, float]] = field(default_factory=dict)


async def _watch(options: dict, number: int, counts: Counts) -> None:
    address = options["addresses"][number % len(options["addresses"])]
    async with open_channel(address) as channel:
        call = channel.stream_stream(
            WATCH, request_serializer=wire.WatchRequest.SerializeToString
        )()
        heartbeats = asyncio.create_task(
            _send_heartbeats(options, number, call, counts)
        )
        try:
            has_lease = False
            async for data in call:
                is_lease = _count(counts, data)
                if is_lease and not has_lease:
                    has_lease = True
                    counts.streams += 1
                    counts.all_leased_at = time.monotonic()
        finally:
            heartbeats.cancel()


async def _send_heartbeats(options: dict, number: int, call, counts: Counts) -> None:
    name = f"{options['name']}-{number}"
    hello = wire.Hello(node_id=name, role=options["role"], **options["known"])
    await _send(call, counts, hello=hello)
    if options["role"] == "agent":
        await _send(call, counts, announce=backend(name))
    # Spread the heartbeats over time, as those of separate processes are.
    await asyncio.sleep(options["heartbeat_s"] * number / options["count"])
    while True:
        heartbeat = wire.Heartbeat(sent_us=int(time.monotonic() * 1e6))
        await _send(call, counts, heartbeat=heartbeat)
        await asyncio.sleep(options["heartbeat_s"])


async def _send(call, counts: Counts, **body) -> None:
    req = wire.WatchRequest(**body)
    counts.bytes_out += req.ByteSize()
    counts.messages_out += 1
    await call.write(req)


def _count(counts: Counts, data: bytes) -> bool:
    """Count one message and return whether it grants a lease."""
    counts.bytes_in += len(data)
    counts.messages_in += 1
    if len(data) >= MAX_PARSED_BYTES:
        counts.large_bytes += len(data)
        if not counts.members_index:
            counts.members_index = wire.WatchEvent.FromString(data).members.index
        return False
    event = wire.WatchEvent.FromString(data)
    kind = event.WhichOneof("body")
    if kind == "members":
        counts.member_bytes += len(data)
    if kind == "config":
        counts.config_bytes += len(data)
        known, _ = counts.reached.get(event.config.revision, (0, 0.0))
        counts.reached[event.config.revision] = (known + 1, time.monotonic())
    return kind == "lease"


async def _run(options: dict) -> None:
    counts = Counts()
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(_watch(options, number, counts))
            for number in range(options["count"])
        ]
        while await loop.run_in_executor(None, sys.stdin.readline):
            print(json.dumps(asdict(counts)), flush=True)
        for task in tasks:
            task.cancel()


def main(args: list[str]) -> None:
    """Hold streams until standard input is closed."""
    asyncio.run(_run(json.loads(args[0])))


if __name__ == "__main__":
    main(sys.argv[1:])
