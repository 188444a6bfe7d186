"""Engine port over HTTP: the client, and server routes for fake engines.

Paths: ``GET /info``, ``POST /run``, ``POST /cancel``, ``GET`` and ``PUT
/cache/{sequence}``, ``GET /load``, ``GET /cache-events?after=N``, ``POST /order``.
Hidden states are encoded as base64 in JSON.
"""

__all__ = ["HttpEngine", "engine_routes"]

import base64
import dataclasses
import urllib.parse
from collections.abc import Sequence

import aiohttp
import pydantic
from aiohttp import web

from wigeonscale.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    RunState,
    WigeonscaleError,
    error_from_kind,
)
from wigeonscale.ports import (
    CacheEvent,
    Engine,
    EngineInfo,
    EngineLoad,
    EngineResult,
    EngineStep,
)

INFO_TIMEOUT_S = 2.0
RUN_TIMEOUT_S = 20.0
ORDER_TIMEOUT_S = 600.0

_INFO_MODEL = pydantic.TypeAdapter(EngineInfo)
_EVENTS_MODEL = pydantic.TypeAdapter(list[CacheEvent])


class HttpEngine:
    """Implements the engine port by HTTP calls.

    Args:
        url: Base URL of the engine.
        session: Client session; the caller must close it.
        run_timeout_s: Timeout of an iteration or a cache transfer, in seconds.
    """

    def __init__(
        self,
        *,
        url: str,
        session: aiohttp.ClientSession,
        run_timeout_s: float = RUN_TIMEOUT_S,
    ):
        self._url = url.rstrip("/")
        self._session = session
        self._run_timeout_s = run_timeout_s

    async def info(self) -> EngineInfo:
        """Return the properties and state of the engine."""
        doc = await self._request("GET", "/info", timeout_s=INFO_TIMEOUT_S)
        return self._validate(_INFO_MODEL, doc, "/info")

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Run one iteration and return one result per step, in order."""
        body = {"steps": [_step_to_json(step) for step in steps]}
        doc = await self._request("POST", "/run", body, timeout_s=self._run_timeout_s)
        results = [_result_from_json(item) for item in doc["results"]]
        if [r.sequence_id for r in results] != [s.sequence_id for s in steps]:
            raise _backend_failed(f"{self._url} returned results for other sequences")
        return results

    async def cancel(self, sequence_ids: Sequence[str]) -> None:
        """Drop sequences and free their KV cache."""
        body = {"sequences": list(sequence_ids)}
        await self._request("POST", "/cancel", body, timeout_s=INFO_TIMEOUT_S)

    async def export_cache(self, sequence_id: str) -> bytes:
        """Return the KV cache of a sequence."""
        path = f"/cache/{urllib.parse.quote(sequence_id, safe='')}"
        doc = await self._request("GET", path, timeout_s=self._run_timeout_s)
        return base64.b64decode(doc["cache"])

    async def import_cache(self, sequence_id: str, epoch: int, cache: bytes) -> None:
        """Install a KV cache exported by another engine with the same layers."""
        path = f"/cache/{urllib.parse.quote(sequence_id, safe='')}"
        body = {"epoch": epoch, "cache": base64.b64encode(cache).decode()}
        await self._request("PUT", path, body, timeout_s=self._run_timeout_s)

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, with a delay."""
        doc = await self._request("GET", "/load", timeout_s=INFO_TIMEOUT_S)
        return EngineLoad(
            running=int(doc["running"]),
            queued=int(doc["queued"]),
            cached_prefixes=int(doc.get("cached_prefixes", 0)),
        )

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events numbered above ``after``; some may be missing."""
        path = f"/cache-events?after={after}"
        doc = await self._request("GET", path, timeout_s=INFO_TIMEOUT_S)
        return self._validate(_EVENTS_MODEL, doc.get("events"), path)

    async def order(
        self, *, term: int, sequence: int, action: str, args: dict[str, object]
    ) -> None:
        """Send an order with its fencing token (term and sequence)."""
        body = {"term": term, "sequence": sequence, "action": action, "args": args}
        await self._request("POST", "/order", body, timeout_s=ORDER_TIMEOUT_S)

    def _validate(self, model: pydantic.TypeAdapter, doc: object, path: str):
        try:
            return model.validate_python(doc)
        except pydantic.ValidationError as exc:
            raise _backend_failed(f"GET {self._url}{path}: {exc}") from exc

    async def _request(
        self, method: str, path: str, body: dict | None = None, *, timeout_s: float
    ) -> dict:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, self._url + path, json=body, timeout=timeout
            ) as res:
                doc = await res.json()
                status = res.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise _backend_failed(f"{method} {self._url}{path}: {exc!r}") from exc
        if not isinstance(doc, dict):
            raise _backend_failed(
                f"{method} {self._url}{path}: response is not a JSON object"
            )
        if status == 200:
            return doc
        error = doc.get("error", {})
        raise error_from_kind(
            error.get("kind", ErrorKind.BACKEND_FAILED),
            error.get("message", f"{method} {self._url}{path}: status {status}"),
        )


def _backend_failed(message: str) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.BACKEND_FAILED, message, run_state=RunState.UNKNOWN
    )


def _step_to_json(step: EngineStep) -> dict:
    return {
        "sequence_id": step.sequence_id,
        "epoch": step.epoch,
        "position": step.position,
        "count": step.count,
        "first": step.first,
        "hidden": base64.b64encode(step.hidden).decode(),
        "priority": step.priority,
        "first_layer": step.first_layer,
        "last_layer": step.last_layer,
    }


def _step_from_json(doc: dict) -> EngineStep:
    return EngineStep(**{**doc, "hidden": base64.b64decode(doc["hidden"])})


def _result_to_json(result: EngineResult) -> dict:
    return {
        "sequence_id": result.sequence_id,
        "position": result.position,
        "hidden": base64.b64encode(result.hidden).decode(),
        "token_id": result.token_id,
        "token_text": result.token_text,
        "end": result.end,
        "error": result.error,
    }


def _result_from_json(doc: dict) -> EngineResult:
    return EngineResult(**{**doc, "hidden": base64.b64decode(doc["hidden"])})


def engine_routes(engine: Engine) -> list[web.RouteDef]:
    """Return HTTP routes that serve an engine.

    Args:
        engine: Implementation of the engine port.

    Returns:
        Routes for an aiohttp application.
    """

    async def info(req: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(await engine.info()))

    async def run(req: web.Request) -> web.Response:
        steps = [_step_from_json(doc) for doc in (await req.json())["steps"]]
        results = await engine.run(steps)
        return web.json_response({"results": [_result_to_json(r) for r in results]})

    async def cancel(req: web.Request) -> web.Response:
        await engine.cancel((await req.json())["sequences"])
        return web.json_response({})

    async def export_cache(req: web.Request) -> web.Response:
        cache = await engine.export_cache(req.match_info["sequence"])
        return web.json_response({"cache": base64.b64encode(cache).decode()})

    async def import_cache(req: web.Request) -> web.Response:
        doc = await req.json()
        cache = base64.b64decode(doc["cache"])
        await engine.import_cache(req.match_info["sequence"], doc["epoch"], cache)
        return web.json_response({})

    async def load(req: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(await engine.load()))

    async def cache_events(req: web.Request) -> web.Response:
        events = await engine.cache_events(int(req.query["after"]))
        docs = [dataclasses.asdict(event) for event in events]
        return web.json_response({"events": docs})

    async def order(req: web.Request) -> web.Response:
        doc = await req.json()
        await engine.order(**doc)
        return web.json_response({})

    return [
        web.get("/info", _with_error_responses(info)),
        web.post("/run", _with_error_responses(run)),
        web.post("/cancel", _with_error_responses(cancel)),
        web.get("/cache/{sequence}", _with_error_responses(export_cache)),
        web.put("/cache/{sequence}", _with_error_responses(import_cache)),
        web.get("/load", _with_error_responses(load)),
        web.get("/cache-events", _with_error_responses(cache_events)),
        web.post("/order", _with_error_responses(order)),
    ]


def _with_error_responses(handler):
    async def handle(req: web.Request) -> web.Response:
        try:
            return await handler(req)
        except WigeonscaleError as exc:
            error = {"kind": str(exc.kind), "message": exc.message}
            status = ERROR_RESPONSES[exc.kind].status
            return web.json_response({"error": error}, status=status)

    return handle
