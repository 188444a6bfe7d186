"""A model engine or plain server that follows the users' pages."""

__all__ = ["Engine", "Fleet", "Record"]

import asyncio
import contextlib
import itertools
import json
import pathlib
import time
from collections.abc import Sequence

from review.standins2.http1 import Call, call, read_call, reply_bytes

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: {stamp}\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

_numbers = itertools.count(1)


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self):
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        now = time.monotonic() - self._started_at
        self._lines.append(f"{now:9.3f} s  {text}")

    def write(self, path: pathlib.Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


class Fleet:
    """The engines of a run, by address."""

    def __init__(self):
        self.by_address: dict[str, Engine] = {}


class Engine:
    """One lifetime of a model engine or of a plain server.

    Args:
        service: Name of its service.
        controls: Addresses that it sends its heartbeats to.
        record: Receives what it does.
        fleet: All engines of the run; receives this one.
        kind: Kind of its accelerator; empty for a plain server.
        heartbeat_s: Interval of its heartbeats.
        port: Port to listen on; 0 for a free one.
        first_heartbeat_after_s: Delay of its first heartbeat.
        zone: Failure domain that it reports.
        events: Events of a stream.
        event_interval_s: Time between two of them.
        name: Its id; None for a new one.
        born: Unix millisecond of its start, which it then reports; None if engines of
            this deployment don't.

    Attributes:
        layers: First layer that it holds and the layer after the last one.
        runs: Ids of the requests that it ran, in order.
        orders: Orders that it received.
        is_refusing: Returns why a request is rejected as not run: the address of the
            engine at fault, or an empty string.
    """

    def __init__(
        self,
        *,
        service: str,
        controls: Sequence[str],
        record: Record,
        fleet: Fleet,
        kind: str = "",
        heartbeat_s: float = 1.2,
        port: int = 0,
        first_heartbeat_after_s: float = 0.0,
        zone: str = "zone-a",
        events: int = 4,
        event_interval_s: float = 0.005,
        name: str | None = None,
        born: int | None = None,
    ):
        self.name = name or f"i-{next(_numbers):08x}"
        self.born = born
        self.service = service
        self.kind = kind
        self.layers = (0, 0)
        self.state = "ready"
        self.runs: list[str] = []
        self.orders: list[dict] = []
        self.is_refusing = lambda request_id, parts: ""
        self.address = ""
        self.record = record
        self._controls = list(controls)
        self._fleet = fleet
        self._heartbeat_s = heartbeat_s
        self._first_after_s = first_heartbeat_after_s
        self._port = port
        self._zone = zone
        self._events = events
        self._event_interval_s = event_interval_s
        self._sequence = itertools.count(1)
        self._order_count = 0
        self._fence = -1
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self._fleet.by_address[self.address] = self
        self.record.add(f"{self.name} ({self.service}) starts at {self.address}")
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """End at once, with all channels reset."""
        self.record.add(f"{self.name} ends")
        self._beats.cancel()
        self._server.close()
        if self._fleet.by_address.get(self.address) is self:
            del self._fleet.by_address[self.address]
        for writer in list(self._writers):
            writer.transport.abort()
        with contextlib.suppress(asyncio.CancelledError):
            await self._beats

    # ------------------------------------------------------------- heartbeats

    def beat(self) -> dict:
        """Return the body of the next heartbeat."""
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 96 if self.kind else 6,
            "state": self.state,
            "cold-remaining-ms": 0,
            "seq": next(self._sequence),
        }
        if self.born is not None:
            body["born"] = self.born
        if self.kind:
            first, end = self.layers
            body |= {
                "stage": "both",
                "models": [self._model()],
                "kind": self.kind,
                "layers": {"from": first, "to": end, "version": 1},
            }
        return body

    def _model(self) -> dict:
        return {"name": "m", "version": 1, "adapters": []}

    async def announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        body = self.beat()
        for control in self._controls:
            reply = await call("PUT", control, f"/instances/{self.name}", body)
            if reply.status == 200:
                return True
        return False

    async def leave(self) -> bool:
        """Say that it is gone; return whether that was acknowledged."""
        body = None if self.born is None else {"born": self.born}
        for control in self._controls:
            reply = await call("DELETE", control, f"/instances/{self.name}", body)
            if reply.status == 200:
                return True
        return False

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._first_after_s)
        while True:
            await self.announce()
            await asyncio.sleep(self._heartbeat_s)

    # ------------------------------------------------------------- requests

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_call(reader)) is not None:
                await self.handle(req, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, req: Call, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if req.path == "/report":
            writer.write(self._report())
        elif req.path == "/order":
            writer.write(self._order(req))
        elif req.path == "/health":
            writer.write(reply_bytes(200, {"Instance-Id": self.name}))
        else:
            await self._run(req, writer)

    def _report(self) -> bytes:
        first, end = self.layers
        report = {
            "stage": "both",
            "models": [self._model()],
            "layers": {"from": first, "to": end, "version": 1},
            "kind": self.kind,
            "busy": False,
            "seq": self._order_count,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 1000000,
            "pace": 1.0,
            "stalled": [],
        }
        if self.born is not None:
            report["born"] = self.born
        headers = {"Content-Type": "application/json"}
        return reply_bytes(200, headers, json.dumps(report).encode())

    def _order(self, req: Call) -> bytes:
        order = json.loads(req.body)
        expected = req.headers.get("expect-instance")
        status = self._take_order(order, expected)
        self.record.add(
            f"{self.name} ({self.service}, {self.kind}) gets order {json.dumps(order)}"
            f" for {expected or 'any instance'}: {status}"
        )
        return reply_bytes(status, {})

    def _take_order(self, order: dict, expected: str | None) -> int:
        self.orders.append(order)
        if expected not in (None, self.name):
            return 421
        if not self.kind:
            return 400
        if order["op"] != "place":
            return 404
        if order.get("fencing-token", 0) < self._fence:
            return 412
        if order.get("precondition", self._order_count) != self._order_count:
            return 409
        self._fence = max(self._fence, order.get("fencing-token", 0))
        self._order_count += 1
        self.layers = order["from"], order["to"]
        return 202

    async def _run(self, req: Call, writer: asyncio.StreamWriter) -> None:
        request_id = req.headers.get("attempt-id", "")
        headers = {"Attempt-Id": request_id, "Not-Run": "1"}
        if req.headers.get("expect-instance", self.name) != self.name:
            self.record.add(f"{self.name} rejects {request_id}: another instance")
            writer.write(reply_bytes(421, headers))
            return
        parts = _parts(req.headers.get("hop-count", ""))
        at_fault = self._missing_part(parts)
        status = 421
        if not at_fault:
            at_fault, status = self.is_refusing(request_id, parts), 503
        if at_fault:
            self.record.add(
                f"{self.name} rejects {request_id} with {status}, at {at_fault}"
            )
            await self.reject(status, headers | {"At-Server": at_fault}, writer)
            return
        self.runs.append(request_id)
        path = ",".join(part[0] for part in parts)
        self.record.add(f"{self.name} runs {request_id} {path}")
        if self.kind:
            await self.stream(req, request_id, writer)
        else:
            await self.answer(req, request_id, writer)

    async def reject(
        self, status: int, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answer that a request was not run."""
        writer.write(reply_bytes(status, headers))

    async def answer(
        self, req: Call, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request to a plain server."""
        await asyncio.sleep(0.02)
        headers = {"Attempt-Id": request_id, "Response-Stamp": self.stamp(request_id)}
        writer.write(reply_bytes(200, headers, f"whole {request_id}".encode()))

    async def stream(
        self, req: Call, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a generation with a stream of events."""
        head = STREAM_HEAD.format(id=request_id, stamp=self.stamp(request_id))
        writer.write(head.encode())
        first = int(req.headers.get("last-event-id", 0)) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._event_interval_s)
            event = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def stamp(self, request_id: str) -> str:
        """Return the digest of a response to a request."""
        return f"{self.name}.{request_id}"

    def _missing_part(self, parts: list[tuple[str, int, int]]) -> str:
        for address, first, end in parts:
            engine = self._fleet.by_address.get(address)
            if (
                engine is None
                or not engine.layers[0] <= first < end <= engine.layers[1]
            ):
                return address
        return ""


def _parts(hops: str) -> list[tuple[str, int, int]]:
    parts = []
    for hop in filter(None, hops.split(",")):
        address, _, layers = hop.partition("=")
        first, _, end = layers.partition("-")
        parts.append((address, int(first), int(end)))
    return parts
