"""The HTTP admin API of a control replica."""

__all__ = ["Admin"]

import hashlib
import hmac
import json
import logging
from collections.abc import Awaitable, Callable

import pydantic
from aiohttp import web
from google.protobuf import json_format

from wigeonscale.control.admin_requests import (
    ApplyRequest,
    DrainRequest,
    RollbackRequest,
)
from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.rule_changes import apply_command, rollback_command
from wigeonscale.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    RunState,
    WigeonscaleError,
)
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

BEARER = "Bearer "
DEFAULT_RETRY_S = 1.0
# A document for 30,000 organisations has about 4 MB. The resulting log entry must fit
# into one message between replicas.
BODY_LIMIT_BYTES = 16 * 1024 * 1024

logger = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.Response]]


class Admin:
    """Serves operators: reads from this replica's state, writes through the log.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        hub: Watch hub of this replica.
        commands: Submits commands to the replicated log.
        token_digest: SHA-256 hex digest of the operators' token; empty if no token is
            required.
    """

    def __init__(
        self,
        *,
        node_id: str,
        state: ControlState,
        replica: Replica,
        hub: Hub,
        commands: Commands,
        token_digest: str = "",
    ):
        self._node_id = node_id
        self._state = state
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._token_digest = token_digest

    def routes(self) -> list[web.RouteDef]:
        """Return the aiohttp routes of the API."""
        return [
            web.get("/admin/rules", self._fresh_page(self._show_rules)),
            web.post("/admin/rules/apply", self._page(self._apply)),
            web.get("/admin/rules/history", self._fresh_page(self._show_history)),
            web.post("/admin/rules/rollback", self._page(self._roll_back)),
            web.get("/admin/status", self._page(self._show_status)),
            web.get("/admin/backends", self._fresh_page(self._show_backends)),
            web.get("/admin/pipelines", self._fresh_page(self._show_pipelines)),
            web.post("/admin/drain", self._page(self._drain)),
        ]

    def _page(self, handler: Handler) -> Handler:
        async def answer(req):
            try:
                self._check_token(req)
                return await handler(req)
            except WigeonscaleError as exc:
                return _error_response(exc)
            except Exception:
                logger.exception("request for %s failed", req.path)
                error = WigeonscaleError(
                    ErrorKind.INTERNAL,
                    "unexpected error; see the log of the replica",
                    run_state=RunState.UNKNOWN,
                )
                return _error_response(error)

        return answer

    def _fresh_page(self, handler: Handler) -> Handler:
        """Refuse the request unless this replica's state is fresh."""

        async def answer(req):
            if not self._hub.is_fresh():
                raise WigeonscaleError(
                    ErrorKind.NO_QUORUM,
                    f"no majority confirmed the state of {self._node_id} recently",
                    retry_after=DEFAULT_RETRY_S,
                )
            return await handler(req)

        return self._page(answer)

    def _check_token(self, req):
        if not self._token_digest:
            return
        given = req.headers.get("Authorization", "")
        digest = hashlib.sha256(given.removeprefix(BEARER).encode()).hexdigest()
        if not hmac.compare_digest(digest, self._token_digest):
            raise WigeonscaleError(
                ErrorKind.FORBIDDEN, "the operator token is missing or wrong"
            )

    # ------------------------------------------------------------------ rules

    async def _show_rules(self, req):
        configuration = self._state.configuration
        return web.json_response(
            {
                "revision": configuration.revision,
                "digest": configuration.document.digest,
                "document": configuration.document.text,
            }
        )

    async def _show_history(self, req):
        revisions = [
            {
                "revision": revision.number,
                "wall_ms": revision.wall_ms,
                "operator": revision.operator,
                "digest": revision.document.digest,
                "sections": [change.name for change in revision.changes],
            }
            for revision in self._state.configuration.history
        ]
        return web.json_response({"revisions": revisions})

    async def _apply(self, req):
        body = await _read_body(req, ApplyRequest)
        self._require_leader()
        return await self._commit(await apply_command(self._state.configuration, body))

    async def _roll_back(self, req):
        body = await _read_body(req, RollbackRequest)
        self._require_leader()
        command = await rollback_command(self._state.configuration, body)
        return await self._commit(command)

    # --------------------------------------------------------------- members

    async def _show_status(self, req):
        watchers = [
            {
                "node_id": watcher.node_id,
                "role": watcher.role,
                "http_address": watcher.http_address,
                "applied_revision": watcher.applied_revision,
            }
            for watcher in sorted(self._hub.watchers, key=lambda each: each.node_id)
        ]
        return web.json_response(
            {
                "node_id": self._node_id,
                "role": self._replica.role.value,
                "term": self._replica.term,
                "leader": self._replica.leader_address,
                "commit_index": self._replica.commit_index,
                "applied_index": self._replica.applied_index,
                "fresh": self._hub.is_fresh(),
                "revision": self._state.configuration.revision,
                "claims": len(self._state.claims),
                "watchers": watchers,
            }
        )

    async def _show_backends(self, req):
        backends = []
        for member in self._state.members:
            agent_id = member.backend.agent_id
            shown = _as_dict(self._state.members.effective(agent_id))
            shown["replica"] = member.replica
            shown["drained"] = self._state.members.is_drained(agent_id)
            backends.append(shown)
        return web.json_response({"backends": backends})

    async def _show_pipelines(self, req):
        pipelines = []
        for pipeline in self._state.configuration.document.pipelines.values():
            chains = [c for c in self._state.chains if c.pipeline == pipeline.name]
            pipelines.append(
                {
                    "name": pipeline.name,
                    "model": pipeline.model,
                    "layers": pipeline.layers,
                    "replicas": pipeline.replicas,
                    "ready": sum(chain.ready for chain in chains),
                    "chains": [_as_dict(chain) for chain in chains],
                }
            )
        return web.json_response({"pipelines": pipelines})

    async def _drain(self, req):
        body = await _read_body(req, DrainRequest)
        self._require_leader()
        drain = wire.DrainBackend(agent_id=body.agent_id, draining=body.draining)
        action = "drain" if body.draining else "undrain"
        operation_id = f"{body.operation_id}/{action}-{body.agent_id}"
        return await self._commit(wire.Command(operation_id=operation_id, drain=drain))

    # --------------------------------------------------------------- commit

    def _require_leader(self):
        if self._replica.role is Role.LEADER:
            return
        leader = self._replica.leader_address
        hint = f"the leader is {leader}" if leader else "no leader is known"
        raise WigeonscaleError(
            ErrorKind.NOT_LEADER,
            f"replica {self._node_id} is not the leader; {hint}",
            retry_after=DEFAULT_RETRY_S,
        )

    async def _commit(self, command):
        result = self._state.first_result(command)
        if result is None:
            result = await self._commands.propose(command)
        if result.kind:
            raise WigeonscaleError(ErrorKind(result.kind), result.message)
        return web.json_response({"revision": result.revision, "index": result.index})


async def _read_body(req: web.Request, model: type[pydantic.BaseModel]):
    data = bytearray()
    async for chunk in req.content.iter_any():
        data += chunk
        if len(data) > BODY_LIMIT_BYTES:
            raise WigeonscaleError(
                ErrorKind.BODY_TOO_LARGE,
                f"request body exceeds {BODY_LIMIT_BYTES} bytes",
            )
    try:
        return model.model_validate_json(bytes(data))
    except pydantic.ValidationError as exc:
        problems = "; ".join(
            f"{'.'.join(map(str, error['loc'])) or 'body'}: {error['msg']}"
            for error in exc.errors()
        )
        raise WigeonscaleError(ErrorKind.BAD_REQUEST, problems) from exc


def _as_dict(message) -> dict[str, object]:
    return json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def _error_response(exc: WigeonscaleError) -> web.Response:
    answer = ERROR_RESPONSES[exc.kind]
    error = {"kind": exc.kind.value, "message": exc.message}
    if exc.kind in (ErrorKind.NO_QUORUM, ErrorKind.INTERNAL):
        error["run"] = exc.run_state.value
    headers = {}
    if answer.retryable:
        retry_after = exc.retry_after or DEFAULT_RETRY_S
        error["retry_after"] = retry_after
        headers["Retry-After"] = str(max(1, round(retry_after)))
    return web.json_response(
        {"error": error}, status=answer.status, headers=headers, dumps=json.dumps
    )
