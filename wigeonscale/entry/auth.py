"""Authentication of callers by API key."""

__all__ = ["authenticate"]

from aiohttp import web

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.rules import Organisation, Ruleset

SCHEME = "bearer"
MAX_KEY_LENGTH = 512


def authenticate(req: web.Request, ruleset: Ruleset) -> Organisation:
    """Return the organisation that owns the request's API key.

    Args:
        req: The request.
        ruleset: The current rules.

    Raises:
        WigeonscaleError: ``UNKNOWN_KEY``; the message does not contain the key.
    """
    scheme, _, key = req.headers.get("Authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        raise WigeonscaleError(
            ErrorKind.UNKNOWN_KEY, "header Authorization: Bearer KEY is missing"
        )
    known = len(key) <= MAX_KEY_LENGTH and key.isascii()
    organisation = ruleset.organisation_for_key(key) if known else None
    if organisation is None:
        raise WigeonscaleError(
            ErrorKind.UNKNOWN_KEY, "the API key belongs to no organisation"
        )
    return organisation
