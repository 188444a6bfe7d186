"""Schemas of the admin API's request bodies."""

__all__ = ["ApplyRequest", "DrainRequest", "RollbackRequest"]

from typing import Annotated

import pydantic

Name = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=200)]
Digest = Annotated[str, pydantic.StringConstraints(pattern="^([0-9a-f]{64})?$")]
Revision = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class _Request(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class SectionBody(_Request):
    """One changed section; mirrors the wire message ``SectionChange``."""

    name: Name
    removed: bool = False
    text: str = ""
    after: str = ""


class ApplyRequest(_Request):
    """Body of ``POST /admin/rules/apply``: a whole document or a set of changes.

    ``changes`` requires ``digest``, the digest of the document that results.
    """

    base_revision: Revision
    operation_id: Name
    document: str = ""
    changes: tuple[SectionBody, ...] = ()
    digest: Digest = ""
    operator: str = ""

    @pydantic.model_validator(mode="after")
    def _check_one_form(self):
        if bool(self.changes) != bool(self.digest) or self.changes and self.document:
            raise ValueError("give either document, or changes with digest")
        return self


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
