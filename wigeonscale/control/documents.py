"""Bodies of the operators' requests, validated at the border."""

__all__ = ["ApplyRequest", "DrainRequest", "RollbackRequest"]

from typing import Annotated

import pydantic

Name = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=200)]
Revision = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class _Request(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class ApplyRequest(_Request):
    """Body of ``POST /admin/rules/apply``."""

    base_revision: Revision
    operation_id: Name
    document: str
    operator: str = ""


class RollbackRequest(_Request):
    """Body of ``POST /admin/rules/rollback``."""

    revision: Revision
    operation_id: Name
    operator: str = ""


class DrainRequest(_Request):
    """Body of ``POST /admin/drain``."""

    agent_id: Name
    draining: bool
    operation_id: Name
