"""Parser of the platform's configuration document into a route table."""

__all__ = ["compress", "decompress", "read_route_table"]

import zlib
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from wigeonscale import routes
from wigeonscale.errors import ErrorKind, SettingsError

MS_PER_S = 1000.0

REPEAT_BY_KIND = {
    "safe": routes.Repeat.SAFE,
    "unsafe": routes.Repeat.UNSAFE,
    "streaming": routes.Repeat.STREAM,
}
Milliseconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, allow_inf_nan=False)]
# Priorities below 0 are reserved; see INTERRUPTED_PRIORITY in limits/class_count.py.
Priority = Annotated[int, Field(ge=0)]
Text = Annotated[str, Field(min_length=1)]


class _Model(BaseModel):
    # Unknown fields are ignored: later versions of the platform may add some.
    model_config = ConfigDict(
        extra="ignore", alias_generator=lambda name: name.replace("_", "-")
    )


class _Share(_Model):
    service: Text
    weight: Weight


class _Route(_Model):
    name: Text
    host: Text
    path_prefix: Text
    kind: Text
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0
    gap_target_ms: Milliseconds = 0
    priority: Priority = 5
    service: str | None = None
    split: list[_Share] | None = None
    max_attempts: Annotated[int, Field(ge=1)] = 1
    public: bool = False
    # Set on routes whose requests are generations; their prompts share prefixes.
    sticky: bool = False
    resumable: bool = False


class _Accelerator(_Model):
    name: Text
    size_mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _TypicalRequest(_Model):
    prompt: float = 0.0
    answer: float = 0.0


class _Delay(_Model):
    source: Annotated[Text, Field(alias="from")]
    destination: Annotated[Text, Field(alias="to")]
    # One-way delay.
    delay_ms: Annotated[Milliseconds, Field(alias="delay_ms")]


class _Engine(_Model):
    slots: int = 0
    layers: int = 0
    layer_mb: float = 0.0
    kv_token_bytes: float = 0.0
    kv_capacity: float = 0.0
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0
    usual: _TypicalRequest = _TypicalRequest()
    kinds: list[_Accelerator] = []
    # Network delays between failure domains.
    delays: list[_Delay] = []
    step_ms: Annotated[float, Field(alias="step_ms")] = 0.0
    per_seq_ms: Annotated[float, Field(alias="per_seq_ms")] = 0.0
    context_per_k: Annotated[float, Field(alias="context_per_k")] = 0.0
    read_per_s: Annotated[float, Field(alias="read_per_s")] = 0.0
    # Decode steps per engine pass; each pass sends one event per request.
    stride: Annotated[float, Field(gt=0)] = 1.0


class _Service(_Model):
    name: Text
    max_conns: int = 0
    engine: _Engine | None = None


class _Tenant(_Model):
    name: Text
    api_keys: list[Text]
    priority: Priority | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


def _to_route(route: _Route) -> routes.Route:
    if route.kind not in REPEAT_BY_KIND:
        raise SettingsError(
            f"route {route.name!r}: kind {route.kind!r};"
            f" allowed: {', '.join(REPEAT_BY_KIND)}",
            kind=ErrorKind.INVALID_DOCUMENT,
        )
    if route.split is not None:
        shares = [routes.Share(share.service, share.weight) for share in route.split]
    else:
        shares = [routes.Share(route.service, 1.0)] if route.service else []
    return routes.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeat=REPEAT_BY_KIND[route.kind],
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=route.target_latency_ms / MS_PER_S,
        gap_target_s=route.gap_target_ms / MS_PER_S,
        priority=route.priority,
        shares=tuple(shares),
        max_attempts=route.max_attempts,
        public=route.public,
        generates=route.sticky,
        resumable=route.resumable,
    )


class _Document(_Model):
    version: Annotated[int, Field(ge=1, lt=1 << 63)]
    # Each route is converted as soon as it is validated. Reading a document of 1,160
    # routes then takes 2.5 MB, against 5.4 MB if all are kept as models first
    # (anonymous memory of a process that reads its first document).
    routes: list[Annotated[_Route, AfterValidator(_to_route)]]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


def read_route_table(content: bytes) -> routes.RouteTable:
    """Parse and validate a configuration document.

    Args:
        content: JSON text as it was sent, at most a few megabytes.

    Returns:
        The route table.

    Raises:
        SettingsError: ``INVALID_DOCUMENT`` if the document cannot be parsed completely
            or is inconsistent.
    """
    document = _parse(content)
    return routes.build_table(
        number=document.version,
        routes=document.routes,
        services=[_to_service(service) for service in document.services],
        organisations=_to_organisations(document.tenants),
        limits=routes.CallerLimits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_timeout_s=document.limits.header_timeout_ms / MS_PER_S,
            idle_s=document.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def compress(content: bytes) -> bytes:
    """Return a document in the form stored in the replicated log."""
    return zlib.compress(content)


def decompress(content: bytes) -> bytes:
    """Return the original bytes of a stored document."""
    return zlib.decompress(content)


def _parse(content: bytes) -> _Document:
    try:
        return _Document.model_validate_json(content, strict=False)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        raise SettingsError(
            f"{location or 'the document'}: {first['msg']}",
            kind=ErrorKind.INVALID_DOCUMENT,
        ) from exc


def _to_service(service: _Service) -> routes.Service:
    engine = service.engine
    return routes.Service(
        name=service.name,
        max_connections=service.max_conns,
        engine=_to_engine_profile(engine) if engine is not None else None,
    )


def _to_engine_profile(engine: _Engine) -> routes.EngineProfile:
    return routes.EngineProfile(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        token_bytes=engine.kv_token_bytes,
        room_tokens=engine.kv_capacity,
        activation_bytes=engine.activation_bytes,
        pipe_mbps=engine.pipe_mbps,
        slots=engine.slots,
        step_ms=engine.step_ms,
        event_tokens=engine.stride,
        sequence_ms=engine.per_seq_ms,
        context_ms=engine.context_per_k,
        read_tokens_per_s=engine.read_per_s,
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
        accelerators={
            kind.name: routes.Accelerator(
                name=kind.name,
                size_mb=kind.size_mb,
                pace=kind.pace,
                read_factor=kind.read_x,
            )
            for kind in engine.kinds
        },
        delays_ms={
            (
                min(delay.source, delay.destination),
                max(delay.source, delay.destination),
            ): delay.delay_ms
            for delay in engine.delays
        },
    )


def _to_organisations(
    tenants: list[_Tenant] | None,
) -> list[routes.Organisation] | None:
    if tenants is None:
        return None
    return [
        routes.Organisation(
            name=tenant.name, keys=tuple(tenant.api_keys), priority=tenant.priority
        )
        for tenant in tenants
    ]
