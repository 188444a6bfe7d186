"""Callers and an operator that keep going through all faults."""

__all__ = ["KINDS", "Load", "document", "new_session"]

import asyncio
import itertools
import json
import random

import aiohttp

from wigeonscale.testing.soak.backends import (
    CRASHING,
    EVENTS,
    LAYERS,
    event_data,
    plain_body,
)
from wigeonscale.testing.soak.deployment import Deployment
from wigeonscale.testing.soak.ledger import Ledger

HOST = "soak.example"
KINDS = ("stream", "unsafe", "safe")
DEADLINES_S = {"stream": 6.0, "unsafe": 2.0, "safe": 2.0}
OPERATOR_TIMEOUT_S = 2.0
NOTHING = "nothing"


def document(number: int) -> dict:
    """Return a configuration of the platform's form."""
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path-prefix": f"/{kind}/",
            "kind": "streaming" if kind == "stream" else kind,
            "timeout-ms": DEADLINES_S[kind] * 1000,
            "service": "model" if kind == "stream" else "plain",
            "max-attempts": 1 if kind == "unsafe" else 2,
            "resumable": kind == "stream",
        }
        for kind in KINDS
    ]
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
    """Callers that keep their connections, and one operator.

    Args:
        dep: The daemons.
        ledger: Told of every answer.
        rng: Source of randomness.

    Attributes:
        sent_to: Name of the entry that each request was sent to, by its id.
    """

    def __init__(self, *, dep: Deployment, ledger: Ledger, rng: random.Random):
        self._dep = dep
        self._ledger = ledger
        self._rng = rng
        self._ids = itertools.count(1)
        self._numbers = itertools.count(1)
        self.sent_to: dict[str, str] = {}

    async def call_for_ever(self) -> None:
        """Call one entry after another on kept connections until cancelled."""
        async with new_session() as session:
            while True:
                entry = self._rng.choice(self._dep.entries)
                await self.call(session, entry, self._rng.choice(KINDS))
                await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def crash_for_ever(self) -> None:
        """Send one request that crashes its server at any entry, until cancelled."""
        kind = self._rng.choice(KINDS)
        async with new_session() as session:
            while True:
                entry = self._rng.choice(self._dep.entries)
                await self.call(session, entry, kind, CRASHING)
                await asyncio.sleep(self._rng.uniform(0.1, 0.6))

    async def call(self, session, entry, kind: str, body: bytes = b"q") -> bool:
        """Make one request; return whether it was served."""
        request_id = f"r{next(self._ids):05d}"
        if kind == "unsafe":
            self._ledger.once.add(request_id)
        self.sent_to[request_id] = entry.name
        now = asyncio.get_running_loop().time
        self._ledger.notices.sent(request_id, f"{entry.name}.{entry.starts}", now())
        limit_s = DEADLINES_S[kind]
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Request-Deadline": str(int(limit_s * 1000)),
            "Token-Count": "10,12",
        }
        url = f"http://{self._dep.caller_address(entry)}/{kind}/x"
        try:
            async with asyncio.timeout(limit_s + 1.0):
                async with session.post(url, headers=headers, data=body) as res:
                    got = await res.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            self._ledger.answers[NOTHING] += 1
            return False
        self._ledger.answered(request_id, res.status)
        self._ledger.notices.answered(request_id, now())
        if res.status != 200:
            return False
        self._ledger.whole(request_id, got, _wanted(kind, request_id))
        return True

    async def change_for_ever(self) -> None:
        """Change the configuration, and read it back, until cancelled."""
        async with new_session() as session:
            while True:
                await self.change(session, next(self._numbers))
                await self.read(session)
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))

    async def change(self, session, number: int) -> None:
        """Send one configuration until it is acknowledged, to any replica."""
        body = json.dumps(document(number)).encode()
        while True:
            control = self._rng.choice(self._dep.control_addresses)
            status, _ = await _ask(session, "PUT", control, body)
            if status == 200:
                self._ledger.acknowledge(number)
                return
            await asyncio.sleep(0.1)

    async def read(self, session) -> int | None:
        """Read the configuration at any replica; return its number if it is told."""
        floor = self._ledger.acknowledged
        control = self._rng.choice(self._dep.control_addresses)
        status, body = await _ask(session, "GET", control)
        if status != 200:
            return None
        number = json.loads(body)["version"]
        self._ledger.read(number, floor)
        return number


def new_session() -> aiohttp.ClientSession:
    """Return a client that keeps its connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )


async def _ask(session, method, control, body=None) -> tuple[int, bytes]:
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


def _wanted(kind: str, request_id: str) -> bytes:
    if kind != "stream":
        return plain_body(request_id)
    return b"".join(event_data(request_id, n) for n in range(1, EVENTS + 1))
