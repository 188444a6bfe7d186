"""Stand-ins of engines: plain servers and model engines, as the pages describe them."""

import asyncio
import itertools
import json

from review.standins.cluster import call, wait_until

HEARTBEAT_S = 1.2


class Engine:
    """One engine: registers itself, answers reports, orders and requests.

    Args:
        answer: Coroutine that answers one request, given the engine, a
            :class:`Request` and the writer of its channel; returns whether the channel
            is kept.
    """

    def __init__(
        self, *, name, service, zone, slots, cluster, answer, kind="", fields=None
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.kind = kind
        self.layers = (0, 0)
        self.fields = fields or {}
        self.address = ""
        self._answer = answer
        self._cluster = cluster
        self._orders = 0
        self._fence = -1
        self._server = None
        self._beats = None
        self._channels = set()

    async def start(self, ip, port=0):
        """Listen on a port of an address, by default a free one, and register."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._register())

    async def close(self):
        """Stop."""
        self._beats.cancel()
        self._server.close()
        for task in list(self._channels):
            task.cancel()
        await asyncio.gather(self._beats, *self._channels, return_exceptions=True)

    async def _register(self):
        controls = self._cluster.controls
        for number in itertools.count(1):
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "seq": number,
            }
            if self.kind:
                first, end = self.layers
                body |= {
                    "stage": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "kind": self.kind,
                    "layers": {"from": first, "to": end, "version": 1},
                }
            body |= self.fields
            for turn in range(len(controls)):
                address = controls[(number + turn) % len(controls)]
                path = f"/instances/{self.name}"
                status, _ = await call(address, "PUT", path, body)
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._channels.add(task)
        try:
            while True:
                req = await read_request(reader)
                if req is None or not await self._handle(req, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(task)
            writer.close()

    async def _handle(self, req, writer):
        if req.path == "/report":
            first, end = self.layers
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "layers": {"from": first, "to": end, "version": 1},
                "kind": self.kind,
                "busy": False,
                "seq": self._orders,
                "queued": 0,
                "running": 0,
                "kv-used": 0,
                "kv-total": 100_000,
                "handles": 0,
                "pace": 1.0,
            }
            return await respond(writer, 200, [], json.dumps(report).encode())
        if req.path == "/order":
            return await respond(writer, self._order(json.loads(req.body)), [], b"")
        if req.path == "/health":
            return await respond(writer, 200, [("Instance-Id", self.name)], b"")
        if req.headers.get("expect-instance", self.name) != self.name:
            headers = [("Attempt-Id", req.id), ("Not-Run", "1")]
            return await respond(writer, 421, headers, b"")
        return await self._answer(self, req, writer)

    def _order(self, order):
        if order["op"] != "place":
            return 404
        if order.get("fencing-token", 0) < self._fence:
            return 412
        self._fence = max(self._fence, order.get("fencing-token", 0))
        if order.get("precondition", self._orders) != self._orders:
            return 409
        wanted = (order["from"], order["to"])
        if wanted == self.layers:
            return 200
        self._orders += 1
        self.layers = wanted
        return 202


class Request:
    """A request as read from a channel."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """Id of the client attempt."""
        return self.headers.get("attempt-id", "")


async def read_request(reader):
    """Return the next request of a channel, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


async def respond(writer, status, headers, body):
    """Send a response with a length; return that the channel is kept."""
    lines = [f"HTTP/1.1 {status} S", *[f"{name}: {value}" for name, value in headers]]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    await writer.drain()
    return True


async def wait_for_layers(engines, layers, timeout_s=20.0):
    """Wait until every engine holds all layers."""

    async def is_done():
        return all(engine.layers == (0, layers) for engine in engines)

    await wait_until(is_done, timeout_s)
