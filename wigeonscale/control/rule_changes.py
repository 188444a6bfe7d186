"""Builds commands from operators' changes of the rules document."""

__all__ = ["apply_command", "rollback_command"]

import asyncio

from wigeonscale.control.admin_requests import ApplyRequest, RollbackRequest
from wigeonscale.errors import ErrorKind, SettingsError, WigeonscaleError
from wigeonscale.rules import (
    EMPTY_DOCUMENT,
    Document,
    diff_documents,
    parse_document,
    patch_document,
)
from wigeonscale.state.configuration import Configuration
from wigeonscale.wire import wire_pb2 as wire

DIGEST_LENGTH = 16


async def apply_command(
    configuration: Configuration, body: ApplyRequest
) -> wire.Command:
    """Return the command that puts a document in force.

    Args:
        configuration: Committed configuration.
        body: Operator's request.

    Returns:
        A command that holds only the changed sections if its base is still kept, else
        the whole document.

    Raises:
        WigeonscaleError: ``INVALID_DOCUMENT``, listing all problems.
    """
    base = configuration.document_at(body.base_revision)
    if body.changes:
        return await _patch_command(configuration, base, body)
    # Parses only the sections that differ from the operator's base.
    document = await _run_in_thread(
        parse_document, body.document, base=base or EMPTY_DOCUMENT
    )
    return await _document_command(
        configuration, body.base_revision, document, body.operator, body.operation_id
    )


async def rollback_command(
    configuration: Configuration, body: RollbackRequest
) -> wire.Command:
    """Return the command that restores the document of an earlier revision.

    Args:
        configuration: Committed configuration.
        body: Operator's request.

    Returns:
        The command, based on the revision in force.

    Raises:
        WigeonscaleError: ``NOT_FOUND`` if the revision is no longer kept.
    """
    document = configuration.document_at(body.revision)
    if document is None:
        raise WigeonscaleError(
            ErrorKind.NOT_FOUND,
            f"revision {body.revision} is not kept; the oldest kept revision is"
            f" {configuration.oldest_base_revision}",
        )
    return await _document_command(
        configuration,
        configuration.revision,
        document,
        body.operator,
        f"{body.operation_id}/rollback-{body.revision}",
    )


async def _document_command(
    configuration, base_revision, document, operator, operation_id
):
    apply = wire.ApplyConfig(
        base_revision=base_revision, operator=operator, digest=document.digest
    )
    base = configuration.document_at(base_revision)
    if base is not None:
        # Runs in a thread, since long documents can differ in many sections.
        changes = await asyncio.to_thread(diff_documents, base, document)
        apply.changes.extend(changes)
    if apply.changes:
        configuration.set_prepared(apply, base, document)
    else:
        apply.document = document.text
    return _command(operation_id, apply)


async def _patch_command(configuration, base, body):
    apply = wire.ApplyConfig(
        base_revision=body.base_revision,
        operator=body.operator,
        digest=body.digest,
        changes=[wire.SectionChange(**dict(each)) for each in body.changes],
    )
    # Without the base, applying the command returns a conflict, or the first answer if
    # this is a retry.
    if base is not None:
        document = await _run_in_thread(patch_document, base, apply.changes)
        if document.digest != body.digest:
            raise WigeonscaleError(
                ErrorKind.INVALID_DOCUMENT,
                f"the changes make a document with digest {document.digest},"
                f" not {body.digest}",
            )
        configuration.set_prepared(apply, base, document)
    return _command(body.operation_id, apply)


def _command(operation_id, apply):
    # The document's digest makes operation ids unique among operators who picked the
    # same id, so that each gets the answer for its own document.
    name = f"{operation_id}/{apply.digest[:DIGEST_LENGTH]}"
    return wire.Command(operation_id=name, apply_config=apply)


async def _run_in_thread(make, *args, **options) -> Document:
    try:
        # Runs in a thread, since a long document would delay the replica's heartbeats.
        return await asyncio.to_thread(make, *args, **options)
    except SettingsError as exc:
        raise WigeonscaleError(ErrorKind.INVALID_DOCUMENT, exc.message) from exc
