"""Model engines that write streams of events, and clients that read them."""

import asyncio
import socket
from dataclasses import dataclass, field

HOST = "streams.example"
LAYERS = 8
DEADLINE_MS = 20_000
READ_BYTES = 4096  # what a client that reads slowly takes at once


def desired_state(*, target_latency_ms=500, resumable=True, version=1, layers=LAYERS):
    """Return a desired state with one service of model engines and one route."""
    engine = {
        "slots": 96,
        "kv-capacity": 50_000,
        "kv-token-bytes": 1_180_000,
        "link-mbps": 480_000.0,
        "stride": 2,
        "models": [{"name": "m", "pace": 1.0, "load-s": 0.1, "warm-s": 0.1}],
        "step_ms": 0.85,
        "per_seq_ms": 0.00764,
        "context_per_k": 0.01024,
        "read_per_s": 196_000.0,
        "pairs_per_m": 0.166,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 772, "answer": 167},
        "layers": layers,
        "layer-mb": 1750.0,
        "activation-bytes": 59_000,
        "pipe-mbps": 13_000.0,
        "kinds": [{"name": "h100", "size-mb": 80_000.0, "pace": 1.4, "read-x": 1.0}],
    }
    route = {
        "name": "r-streams",
        "host": HOST,
        "path-prefix": "/s/",
        "kind": "streaming",
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": target_latency_ms,
        "priority": 1,
        "service": "model",
        "max-attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": resumable,
        "gap-target-ms": 200,
    }
    service = {
        "name": "model",
        "health-path": "/health",
        "max-conns": 978,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "t1", "api-keys": ["key-of-t1"], "priority": 1}],
    }


class EngineModel:
    """How engines answer: a stream of events with increasing ids.

    Attributes:
        pauses: By request, the event after which its stream pauses, and how long.
        planned_end_at: When an engine makes the last event of a request, by request.
    """

    def __init__(self, *, record, events, event_bytes, interval_s):
        self._record = record
        self._events = events
        self._event_bytes = event_bytes
        self._interval_s = interval_s
        self.pauses = {}
        self.planned_end_at = {}

    async def answer(self, engine, req, writer):
        """Answer one request; the work goes on until the last event."""
        after = int(req.headers.get("last-event-id", 0))
        self._record.add(f"{engine.name} runs {req.id} after event {after}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {req.id}\r\n"
            f"Response-Stamp: stamp.{req.id}\r\nWeight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
            "\r\n\r\n".encode()
        )
        pause_after, pause_s = self.pauses.get(req.id, (None, 0.0))
        now = asyncio.get_running_loop().time()
        work_s = (self._events - after) * self._interval_s + pause_s
        self.planned_end_at[req.id] = now + work_s
        for number in range(after + 1, self._events + 1):
            data = self._event(req.id, number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            is_pause = number == pause_after
            if is_pause:
                self._record.add(f"{engine.name} pauses {req.id} for {pause_s} s")
            await asyncio.sleep(pause_s if is_pause else self._interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record.add(f"{engine.name} has ended {req.id}")
        return True

    def _event(self, request_id, number):
        filler = f"{request_id}/{number}/" * (self._event_bytes // 16 + 1)
        return f"id: {number}\ndata: {filler[: self._event_bytes]}\n\n".encode()


@dataclass
class StreamResult:
    """What a client has seen of one stream.

    Attributes:
        status: Status of the answer; None if there was none.
        ids: Ids of its whole events, in order.
        is_whole: Whether the answer has its end.
        ended_at: When the last byte came, or the end of the channel.
    """

    status: int | None = None
    ids: list = field(default_factory=list)
    is_whole: bool = False
    ended_at: float = 0.0


async def read_stream(
    address,
    request_id,
    *,
    record,
    bytes_per_s=None,
    receive_bytes=None,
    segment_bytes=None,
):
    """Send one request and return what came back.

    Args:
        address: Address of the entry.
        request_id: Id of the client attempt.
        record: Log of the case.
        bytes_per_s: How fast the client reads; None for as fast as it can.
        receive_bytes: Receive buffer of the client; None for the default.
        segment_bytes: Largest segment of the client's link; None for the default.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    raw = bytearray()
    try:
        await loop.sock_connect(sock, (host, int(port)))
        record.add(f"{request_id} sent to {address}")
        await loop.sock_sendall(
            sock,
            f"POST /s/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {request_id}\r\nModel: m\r\nToken-Count: 760,420\r\n"
            f"Prompt-Prefix: 5c1e07a2:40,{request_id}:720\r\n"
            f"Request-Deadline: {DEADLINE_MS}\r\nAuthorization: Bearer key-of-t1\r\n"
            "Content-Length: 4\r\n\r\nbody".encode(),
        )
        began_at = loop.time()
        while not raw.endswith(b"\r\n0\r\n\r\n"):
            data = await loop.sock_recv(sock, READ_BYTES if bytes_per_s else 65_536)
            if not data:
                break
            raw += data
            if bytes_per_s:
                due_at = began_at + len(raw) / bytes_per_s
                await asyncio.sleep(max(0.0, due_at - loop.time()))
    except OSError as exc:
        record.add(f"the channel of {request_id} broke: {exc!r}")
    finally:
        sock.close()
    head, _, body = bytes(raw).partition(b"\r\n\r\n")
    return StreamResult(
        status=int(head.split()[1]) if head else None,
        ids=_read_ids(_unchunk(body)),
        is_whole=body.endswith(b"\r\n0\r\n\r\n"),
        ended_at=loop.time(),
    )


def _unchunk(body):
    """Return the content of a body in chunks, up to its end or break."""
    content = []
    at = 0
    while (line_end := body.find(b"\r\n", at)) >= 0:
        try:
            length = int(body[at:line_end], 16)
        except ValueError:
            break  # the body has a length instead of chunks
        begin = line_end + 2
        if not length or begin + length > len(body):
            break
        content.append(body[begin : begin + length])
        at = begin + length + 2
    return b"".join(content)


def _read_ids(content):
    """Return the ids of the whole events."""
    ids = []
    for event in content.split(b"\n\n")[:-1]:
        first = event.partition(b"\n")[0]
        ids.append(int(first.removeprefix(b"id: ")))
    return ids
