"""Parser of the heartbeats and deregistrations of backend servers."""

__all__ = ["Deregistration", "Heartbeat", "read_deregistration", "read_heartbeat"]

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    ValidationError,
)

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.state import DEFAULT_INCARNATION
from wigeonscale.wire import wire_pb2 as wire

DRAINING = "draining"
# IPv4 address and port.
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
MAX_INT64 = 2**63 - 1

# Start time of the backend server in Unix milliseconds, sent in all its messages.
StartMs = Annotated[StrictInt, Field(gt=0, le=MAX_INT64)]
Text = Annotated[StrictStr, Field(min_length=1)]
Count = Annotated[StrictInt, Field(ge=0, lt=2**31)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Layers(_Model):
    # "from" is the first layer, "to" one more than the last.
    first: Annotated[Count, Field(alias="from")] = 0
    end: Annotated[Count, Field(alias="to")] = 0


class _LoadedModel(_Model):
    name: StrictStr = ""


class _Heartbeat(_Model):
    service: Text
    address: Annotated[StrictStr, Field(pattern=ADDRESS_PATTERN)]
    zone: Text
    slots: Count
    state: Literal["ready", "draining"]
    # Sequence number of the heartbeat. In the report of an engine, "seq" is the number
    # of orders.
    seq: Annotated[StrictInt, Field(ge=0, le=MAX_INT64)]
    born: StartMs | None = None
    # Only sent by model engines.
    models: list[_LoadedModel] | None = None
    layers: _Layers | None = None
    # Type of the engine's accelerator; unrelated to the kind of a route.
    kind: StrictStr = ""


class _Deregistration(_Model):
    born: StartMs | None = None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat.

    Attributes:
        backend: State of the backend server.
        sequence: Sequence number of the heartbeat; it increases.
    """

    backend: wire.Backend
    sequence: int


@dataclass(frozen=True, slots=True)
class Deregistration:
    """Message of a backend server that shuts down.

    Attributes:
        incarnation: Incarnation that ends; None if the message does not name one.
    """

    incarnation: int | None


def read_heartbeat(backend_id: str, content: bytes) -> Heartbeat:
    """Parse a heartbeat.

    Args:
        backend_id: Id of the incarnation, from the request path.
        content: JSON body.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``, naming the invalid field.
    """
    try:
        heartbeat = _Heartbeat.model_validate_json(content)
    except ValidationError as exc:
        raise _bad_request(f"heartbeat of {backend_id!r}", exc) from exc
    is_engine = heartbeat.models is not None
    layers = heartbeat.layers or _Layers()
    backend = wire.Backend(
        agent_id=backend_id,
        incarnation=heartbeat.born or DEFAULT_INCARNATION,
        started_ms=heartbeat.born or 0,
        address=heartbeat.address,
        domain=heartbeat.zone,
        kind=wire.ENGINE if is_engine else wire.SERVICE,
        service=heartbeat.service,
        accelerator=heartbeat.kind,
        first_layer=layers.first,
        last_layer=layers.end - 1,
        draining=heartbeat.state == DRAINING,
        slots=heartbeat.slots,
    )
    return Heartbeat(backend, heartbeat.seq)


def read_deregistration(backend_id: str, content: bytes) -> Deregistration:
    """Parse a deregistration; most backend servers send no body.

    Args:
        backend_id: Id of the backend server, from the request path.
        content: JSON body; empty for none.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``, naming the invalid field.
    """
    if not content.strip():
        return Deregistration(None)
    try:
        return Deregistration(_Deregistration.model_validate_json(content).born)
    except ValidationError as exc:
        raise _bad_request(f"deregistration of {backend_id!r}", exc) from exc


def _bad_request(subject: str, exc: ValidationError) -> WigeonscaleError:
    first = exc.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(step) for step in first["loc"]) or "body"
    return WigeonscaleError(
        ErrorKind.BAD_REQUEST, f"{subject}: {location}: {first['msg']}"
    )
