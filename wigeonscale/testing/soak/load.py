"""Callers and an operator that continue during all faults."""

__all__ = ["BATCH", "SHARED_PART", "Load", "document", "new_session"]

import asyncio
import itertools
import json
import random
import socket
from collections.abc import Sequence

import aiohttp

from wigeonscale.testing.soak.backends import (
    CRASHING_BODY,
    CRASHING_PART,
    LARGE_BODY,
    LAYERS,
    LONG_BODY,
    plain_body,
    stream_events,
)
from wigeonscale.testing.soak.deployment import Deployment
from wigeonscale.testing.soak.invariants import InvariantChecker
from wigeonscale.testing.soak.responses import OVERDUE_S, Request

HOST = "soak.example"
# Generations that may be resumed, and others that may not.
STREAM, ONCE = "stream", "once"
KINDS = (STREAM, ONCE, "unsafe", "safe")
AT_MOST_ONCE_KINDS = frozenset({ONCE, "unsafe"})
# A further generation route, for runs with traffic classes.
BATCH = "batch"
# Route fields of the generations with traffic classes.
CLASSES = {
    STREAM: {"priority": 0, "target-latency-ms": 500, "gap-target-ms": 300},
    ONCE: {"priority": 0, "target-latency-ms": 500, "gap-target-ms": 300},
    BATCH: {"priority": 2, "target-latency-ms": 1200, "gap-target-ms": 300},
}
DEADLINES_S = {STREAM: 6.0, ONCE: 6.0, BATCH: 6.0, "unsafe": 2.0, "safe": 2.0}
# Share of the generations that take long, and of the calls before which a caller leaves
# its connections idle for some time.
LONG_SHARE = 0.2
IDLE_SHARE = 0.05
IDLE_S = (1.0, 3.0)
KEPT_IDLE_S = (0.2, 1.5)
# A caller on a slow line: its speed, and its buffers, which on loopback are far larger.
SLOW_BYTES_PER_S = 400_000
SLOW_BUFFER_BYTES = 4096
SLOW_SEGMENT_BYTES = 1448
# More than the engines' slots, so that a burst also waits and is rejected.
BURST_REQUESTS = 60
OPERATOR_TIMEOUT_S = 2.0
# Part that the prompts of all callers begin with.
SHARED_PART = "a1"
# Counted instead of a status.
NO_RESPONSE = "nothing"
CUT_RESPONSE = "cut"


def document(number: int, kinds: Sequence[str] = KINDS) -> dict:
    """Return a configuration document in the format of the platform.

    Args:
        number: Its number.
        kinds: Routes; with ``BATCH``, the generations have traffic classes. A further
            route and the attempts change with the number.
    """
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path-prefix": f"/{kind}/",
            "kind": "streaming" if kind in CLASSES else kind,
            "timeout-ms": DEADLINES_S[kind] * 1000,
            "service": _service(kind),
            "max-attempts": 1 if kind == "unsafe" else 2 + number % 2,
            "resumable": kind in CLASSES and kind not in AT_MOST_ONCE_KINDS,
        }
        for kind in kinds
    ]
    if number % 2:
        safe = next(route for route in routes if route["name"] == "safe")
        routes.append(safe | {"name": "spare", "path-prefix": "/spare/"})
    if BATCH in kinds:
        for route in routes:
            if route["name"] in CLASSES:
                route |= CLASSES[route["name"]] | {"sticky": True}
    engine = {
        "layers": LAYERS,
        "layer-mb": 100.0,
        "kv-token-bytes": 8e6,
        "kv-capacity": 50,
        "activation-bytes": 1000,
        "pipe-mbps": 1000.0,
        "step_ms": 1.0,
        "read_per_s": 100000.0,
        "usual": {"prompt": 10, "answer": 12},
        "kinds": [{"name": "k", "size-mb": 800.0}],
    }
    services = [{"name": "model", "engine": engine}, {"name": "plain"}]
    return {"version": number, "routes": routes, "services": services}


class Load:
    """Callers with persistent connections, and one operator.

    Args:
        dep: The daemons.
        checker: Notified of every answer.
        rng: Source of randomness.
        has_classes: Whether the generations have traffic classes.
        has_crashes: Whether some requests crash the servers that run them; also an
            attribute.

    Attributes:
        kinds: Kinds of requests, which are the routes.
        sent_to: Name of the entry to which a request was sent, by request id.
    """

    def __init__(
        self,
        *,
        dep: Deployment,
        checker: InvariantChecker,
        rng: random.Random,
        has_classes: bool = False,
        has_crashes: bool = True,
    ):
        self.kinds = (*KINDS, BATCH) if has_classes else KINDS
        self.has_crashes = has_crashes
        self._dep = dep
        self._checker = checker
        self._rng = rng
        self._ids = itertools.count(1)
        self._numbers = itertools.count(1)
        self.sent_to: dict[str, str] = {}

    async def run_callers(self) -> None:
        """Call random entries on persistent connections until cancelled."""
        async with new_session() as session:
            while True:
                entry = self._rng.choice(self._dep.entries)
                is_long = self._rng.random() < LONG_SHARE
                body = LONG_BODY if is_long else b"q"
                await self.call(session, entry, self._rng.choice(self.kinds), body)
                is_idle = self._rng.random() < IDLE_SHARE
                pause_s = self._rng.uniform(*(IDLE_S if is_idle else (0.0, 0.05)))
                await asyncio.sleep(pause_s)

    async def run_kept_connection(self, entry) -> None:
        """Send plain requests to one entry on one connection until cancelled.

        A new connection is opened only when the entry has closed the last one.
        """
        async with new_session() as session:
            while True:
                await self.call(session, entry, self._rng.choice(("unsafe", "safe")))
                await asyncio.sleep(self._rng.uniform(*KEPT_IDLE_S))

    async def run_slow_caller(self) -> None:
        """Read large streams slowly until cancelled."""
        async with new_session(is_slow=True) as session:
            while True:
                entry = self._rng.choice(self._dep.entries)
                kind = self._rng.choice((STREAM, ONCE))
                await self.call(
                    session, entry, kind, LARGE_BODY, bytes_per_s=SLOW_BYTES_PER_S
                )
                await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def run_crashing_caller(self) -> None:
        """Send a request that crashes its server to random entries until cancelled."""
        kind = self._rng.choice(self.kinds)
        async with new_session() as session:
            while True:
                entry = self._rng.choice(self._dep.entries)
                await self.call(session, entry, kind, CRASHING_BODY)
                await asyncio.sleep(self._rng.uniform(0.1, 0.6))

    async def run_crashing_part_caller(self) -> None:
        """Send different requests with one crashing part until cancelled."""
        async with new_session() as session:
            for number in itertools.count():
                entry = self._rng.choice(self._dep.entries)
                body = b"with a crashing part %d" % number
                await self.call(
                    session,
                    entry,
                    STREAM,
                    body,
                    shared_parts=(SHARED_PART, CRASHING_PART),
                )
                await asyncio.sleep(self._rng.uniform(0.2, 1.0))

    async def run_bursts(self) -> None:
        """Send bursts of the less urgent class to random entries until cancelled."""
        async with new_session() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(0.3, 1.5))
                async with asyncio.TaskGroup() as group:
                    for _ in range(BURST_REQUESTS):
                        entry = self._rng.choice(self._dep.entries)
                        group.create_task(self.call(session, entry, BATCH))

    async def call(
        self,
        session,
        entry,
        kind: str,
        body: bytes = b"q",
        *,
        shared_parts: Sequence[str] = (SHARED_PART,),
        bytes_per_s: float | None = None,
    ) -> bool:
        """Send one request and return whether it was served.

        Args:
            session: HTTP client.
            entry: Entry that receives it.
            kind: Its route.
            body: Its body.
            shared_parts: Parts of its prompt before the part of its own.
            bytes_per_s: How fast its caller reads; None for as fast as it can.
        """
        request_id = f"r{next(self._ids):05d}"
        if kind in AT_MOST_ONCE_KINDS:
            self._checker.at_most_once_ids.add(request_id)
        self.sent_to[request_id] = entry.name
        now = asyncio.get_running_loop().time
        self._checker.notices.record_sent(
            request_id, f"{entry.name}.{entry.starts}", now()
        )
        deadline_s = DEADLINES_S[kind]
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Request-Deadline": str(int(deadline_s * 1000)),
            "Token-Count": "10,12",
            "Prompt-Prefix": ",".join(
                f"{part}:5" for part in (*shared_parts, request_id)
            ),
        }
        url = f"http://{self._dep.caller_address(entry)}/{kind}/x"
        req = Request(
            request_id=request_id,
            kind=kind,
            service=_service(kind),
            process=entry.last_start,
            sent_at=now(),
            deadline_s=deadline_s,
            may_resume=kind in CLASSES and kind not in AT_MOST_ONCE_KINDS,
        )
        try:
            async with asyncio.timeout(deadline_s + OVERDUE_S):
                async with session.post(url, headers=headers, data=body) as res:
                    req.status = res.status
                    response_body = await _read(res, bytes_per_s)
        except aiohttp.ClientConnectorError:
            self._checker.answers[NO_RESPONSE] += 1  # nothing was sent
            return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            is_cut = req.status is not None
            self._checker.answers[CUT_RESPONSE if is_cut else NO_RESPONSE] += 1
            req.ended_at = now()
            self._checker.responses.incomplete.append(req)
            return False
        self._checker.record_answer(request_id, res.status)
        self._checker.notices.record_answer(request_id, now())
        if res.status != 200:
            return False
        self._checker.record_success(
            request_id, response_body, _expected_body(kind, request_id, body)
        )
        return True

    async def run_operator(self) -> None:
        """Change the configuration and read it back until cancelled."""
        async with new_session() as session:
            while True:
                await self.change(session, next(self._numbers))
                await self.read(session)
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))

    async def change(self, session, number: int) -> None:
        """Send one configuration to random replicas until it is acknowledged."""
        body = json.dumps(document(number, self.kinds)).encode()
        while True:
            control = self._rng.choice(self._dep.control_addresses)
            status, _ = await _request_config(session, "PUT", control, body)
            if status == 200:
                self._checker.record_acknowledged(number)
                return
            await asyncio.sleep(0.1)

    async def read(self, session) -> int | None:
        """Read the configuration from a random replica.

        Returns:
            Its number, or None without a successful response.
        """
        acknowledged_before = self._checker.acknowledged
        control = self._rng.choice(self._dep.control_addresses)
        status, body = await _request_config(session, "GET", control)
        if status != 200:
            return None
        number = json.loads(body)["version"]
        self._checker.record_read(number, acknowledged_before)
        return number


def new_session(*, is_slow: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP client with persistent connections.

    Args:
        is_slow: Whether its buffers are small, so that its server has to wait for it.
    """
    connector = aiohttp.TCPConnector(
        limit=0, socket_factory=_slow_socket if is_slow else None
    )
    options = {"read_bufsize": SLOW_BUFFER_BYTES} if is_slow else {}
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, **options)


def _slow_socket(address_info) -> socket.socket:
    family, kind, proto, *_ = address_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES)
    return sock


async def _read(res: aiohttp.ClientResponse, bytes_per_s: float | None) -> bytes:
    if bytes_per_s is None:
        return await res.read()
    now = asyncio.get_running_loop().time
    began_at, body = now(), bytearray()
    async for part in res.content.iter_chunked(SLOW_BUFFER_BYTES):
        body += part
        await asyncio.sleep(began_at + len(body) / bytes_per_s - now())
    return bytes(body)


async def _request_config(session, method, control, body=None) -> tuple[int, bytes]:
    try:
        async with session.request(
            method,
            f"http://{control}/config",
            data=body,
            timeout=aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_S),
        ) as res:
            return res.status, await res.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, b""


def _service(kind: str) -> str:
    return "model" if kind in CLASSES else "plain"


def _expected_body(kind: str, request_id: str, body: bytes) -> bytes:
    if kind not in CLASSES:
        return plain_body(request_id)
    return b"".join(stream_events(request_id, body))
