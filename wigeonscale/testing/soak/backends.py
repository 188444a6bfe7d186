"""Fake model engines and plain servers, each behind a relay."""

__all__ = [
    "CRASHING_BODY",
    "CRASHING_PART",
    "LARGE_BODY",
    "LAYERS",
    "LONG_BODY",
    "Backend",
    "plain_body",
    "stream_events",
]

import asyncio
import itertools
import json
import random

import aiohttp
from aiohttp import web

from demo.processes import free_ports
from wigeonscale.testing.matrix.relay import Relay
from wigeonscale.testing.soak.invariants import InvariantChecker

LAYERS = 8
# Number of events of a stream and bytes of padding in each, also by the request's body.
EVENTS = (12, 0)
LONG_BODY = b"long"
LARGE_BODY = b"large"
EVENTS_BY_BODY = {LONG_BODY: (60, 0), LARGE_BODY: (40, 16 * 1024)}
EVENT_INTERVAL_S = 0.02
PLAIN_DELAY_S = 0.03
HEARTBEAT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0
# A request whose body starts with this crashes the backend server that runs it.
CRASHING_BODY = b"crash"
# Part of a prompt that crashes each engine that runs a request with it.
CRASHING_PART = "dead"
RESTART_DELAY_S = 0.3

_names = itertools.count(1)


def stream_events(request_id: str, body: bytes) -> list[bytes]:
    """Return the events of the stream of a request with a body."""
    count, padding = EVENTS_BY_BODY.get(body, EVENTS)
    return [
        f"id: {number}\ndata: {request_id}/{number}{'x' * padding}\n\n".encode()
        for number in range(1, count + 1)
    ]


def plain_body(request_id: str) -> bytes:
    """Return the response body of the plain service."""
    return f"whole {request_id}".encode()


class Backend:
    """A backend server that can crash and restart as a new incarnation.

    Args:
        service: ``model`` or ``plain``.
        controls: HTTP addresses of control replicas.
        checker: Notified of each run; also an attribute.
        engines: All engines by address; a path fails at an engine that is down.
        rng: Source of randomness.

    Attributes:
        layer_range: First layer held and the layer after the last one.
        notice_headers: Headers added to each response, with notices to entries.
        retry_after_s: Retry delay with which it refuses every request; None to
            accept requests.
        event_interval_s: Time between two events of a stream, in seconds.
        arrivals: Ids of received requests, each with its arrival time by the event
            loop.
    """

    def __init__(
        self,
        *,
        service: str,
        controls: list[str],
        checker: InvariantChecker,
        engines: dict[str, "Backend"],
        rng: random.Random,
    ):
        self.service = service
        self.relay: Relay | None = None
        self.layer_range = (0, 0)
        self.notice_headers: dict[str, str] = {}
        self.retry_after_s: float | None = None
        self.event_interval_s = EVENT_INTERVAL_S
        self.arrivals: list[tuple[str, float]] = []
        self._controls = controls
        self.checker = checker
        self._engines = engines
        self._rng = rng
        self._order_count = 0
        self._fencing_token = -1
        self._runner: web.ServerRunner | None = None
        self._heartbeat_task: asyncio.Task | None = None
        self._crashes: set[asyncio.Task] = set()
        self._goes_on = asyncio.Event()
        self._goes_on.set()

    @property
    def is_running(self) -> bool:
        """Whether the server is running."""
        return self._runner is not None

    async def start(self) -> None:
        """Start a new incarnation without layers, at the same relay address."""
        self.name = f"i-{next(_names):06x}"
        self.layer_range, self._order_count, self._fencing_token = (0, 0), 0, -1
        self._runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        if self.relay is None:
            self.relay = Relay(target=f"{host}:{port}", port=free_ports(1)[0])
            self._engines[self.relay.address] = self
        self.relay.target = f"{host}:{port}"
        await self.relay.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop abruptly."""
        if self._runner is None:
            return
        now = asyncio.get_running_loop().time()
        self.checker.responses.record_loss(self.service, self.relay.address, now)
        runner, self._runner = self._runner, None
        # A cancellation may be lost to the timeout of a call that ends just then.
        while not self._heartbeat_task.done():
            self._heartbeat_task.cancel()
            await asyncio.wait({self._heartbeat_task}, timeout=CALL_TIMEOUT_S)
        self.relay.stop_listening()
        self.relay.abort()
        await runner.cleanup()

    async def freeze(self, duration_s: float, *, accepts: bool) -> None:
        """Stand still for a moment and go on; a frozen server is not frozen for longer.

        Args:
            duration_s: Duration, in seconds.
            accepts: Whether the address accepts connections meanwhile.
        """
        if not self._goes_on.is_set():
            return
        now = asyncio.get_running_loop().time
        name = self.name
        # Its responses may not arrive in time.
        self.checker.notices.begin_link_fault(name, now())
        self._goes_on.clear()
        if not accepts and self.is_running:
            self.relay.pause_accepting()
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._goes_on.set()
            await self.relay.resume_accepting()
            self.checker.notices.end_link_fault(name, now())

    async def _crash_and_restart(self) -> None:
        await self.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.is_running:
            await self.start()

    async def close(self) -> None:
        """Stop permanently and close the relay."""
        for task in list(self._crashes):
            task.cancel()
        await asyncio.gather(*self._crashes, return_exceptions=True)
        await self.stop()
        if self.relay is not None:
            await self.relay.close()

    async def _send_heartbeats(self) -> None:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            for sequence in itertools.count(1):
                await self._goes_on.wait()
                await self._send_heartbeat(session, sequence)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(
        self, session: aiohttp.ClientSession, sequence: int
    ) -> None:
        body = {
            "service": self.service,
            "address": self.relay.address,
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "seq": sequence,
        }
        if self.service == "model":
            first, end = self.layer_range
            body |= {"models": [], "kind": "k", "layers": {"from": first, "to": end}}
        for control in self._rng.sample(self._controls, len(self._controls)):
            url = f"http://{control}/instances/{self.name}"
            try:
                async with session.put(url, json=body) as res:
                    if res.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                continue  # try the next replica, as the servers of the platform do

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        try:
            await self._goes_on.wait()
        except asyncio.CancelledError:
            self._record_abandoned(req)
            raise
        if req.path == "/report":
            return web.json_response(self._report())
        if req.path == "/order":
            return self._order(json.loads(await req.read()))
        request_id = req.headers["Attempt-Id"]
        now = asyncio.get_running_loop().time()
        self.arrivals.append((request_id, now))
        self.checker.notices.record_arrival(request_id, self.name, now)
        self.checker.responses.arrived.add(request_id)
        refusal = self._refusal(req, request_id)
        if refusal is not None:
            return refusal
        self.checker.record_run(request_id)
        path = tuple(server.relay.address for server in self._path(req))
        self.checker.responses.record_run(request_id, path, now)
        body = await req.read()
        cause = self._crash_cause(req, body)
        if cause:
            loop = asyncio.get_running_loop()
            is_part = not body.startswith(CRASHING_BODY)
            self.checker.record_crash(cause, loop.time(), is_part=is_part)
            task = asyncio.create_task(self._crash_and_restart())
            self._crashes.add(task)
            task.add_done_callback(self._crashes.discard)
            await loop.create_future()
        headers = {"Attempt-Id": request_id, "Response-Stamp": f"stamp {request_id}"}
        headers |= self.notice_headers
        self._record_notice(request_id, headers)
        if self.service == "plain":
            return await self._respond_whole(req, plain_body(request_id), headers)
        events = stream_events(request_id, body)
        return await self._stream(req, events, headers)

    def _record_abandoned(self, req: web.BaseRequest) -> None:
        """Record a request whose sender does not wait until this server goes on.

        It has been received, so a server of the platform will run it.
        """
        request_id = req.headers.get("Attempt-Id")
        if request_id is not None and self._refusal(req, request_id) is None:
            self.checker.record_run(request_id)

    def _path(self, req: web.BaseRequest) -> list["Backend"]:
        """Return the servers that run an accepted request, this one first."""
        hops = req.headers.get("Hop-Count", "").split(",")
        return [self._engines[hop.partition("=")[0]] for hop in hops if hop] or [self]

    def _crash_cause(self, req: web.BaseRequest, body: bytes) -> bytes:
        """Return what crashes this server in a request; empty for nothing."""
        if body.startswith(CRASHING_BODY):
            return body
        parts = req.headers.get("Prompt-Prefix", "").split(",")
        has_part = any(part.startswith(f"{CRASHING_PART}:") for part in parts)
        return CRASHING_PART.encode() if has_part else b""

    def _record_notice(self, request_id: str, headers: dict[str, str]) -> None:
        now = asyncio.get_running_loop().time()
        self.checker.notices.record_notice(request_id, self.name, headers, now)

    def _refusal(self, req: web.BaseRequest, request_id: str) -> web.Response | None:
        headers = {"Attempt-Id": request_id, "Not-Run": "1"}
        if req.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        headers |= self.notice_headers
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
            self._record_notice(request_id, headers)
            return web.Response(status=503, headers=headers)
        if self.service == "plain":
            return None
        hops = [part.split("=") for part in req.headers["Hop-Count"].split(",")]
        ranges = [tuple(map(int, layers.split("-"))) for _, layers in hops]
        self.checker.record_path(request_id, ranges, LAYERS)
        for (address, _), (first, end) in zip(hops, ranges, strict=True):
            engine = self._engines.get(address)
            is_running = engine is not None and engine.is_running
            if not is_running or not (
                engine.layer_range[0] <= first < end <= engine.layer_range[1]
            ):
                headers["At-Server"] = address
                return web.Response(
                    status=503 if not is_running else 421, headers=headers
                )
        return None

    async def _respond_whole(self, req, body, headers) -> web.StreamResponse:
        """Send a response in two parts, so that a freeze may fall between them."""
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body)
        half = len(body) // 2
        for part in (body[:half], body[half:]):
            await asyncio.sleep(PLAIN_DELAY_S / 2)
            await self._goes_on.wait()
            if not response.prepared:
                await response.prepare(req)
            await response.write(part)
        return response

    async def _stream(self, req, events, headers) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        path = self._path(req)
        await self._goes_on.wait()
        await response.prepare(req)
        for event in events[int(req.headers.get("Last-Event-Id", 0)) :]:
            await asyncio.sleep(self.event_interval_s)
            for server in path:
                await server._goes_on.wait()
            await response.write(event)
        await response.write_eof()
        return response

    def _report(self) -> dict:
        first, end = self.layer_range
        return {
            "busy": False,
            "seq": self._order_count,
            "layers": {"from": first, "to": end},
            "running": 0,
            "pace": 1.0,
        }

    def _order(self, order: dict) -> web.Response:
        if order["op"] == "repath":
            # Streams of this stand-in do not change their path; they are sent again.
            return web.Response(status=404)
        if order["fencing-token"] < self._fencing_token:
            return web.Response(status=412)
        self._fencing_token = order["fencing-token"]
        if order["precondition"] != self._order_count:
            return web.Response(status=409)
        self._order_count += 1
        self.layer_range = order["from"], order["to"]
        return web.Response(status=202)
