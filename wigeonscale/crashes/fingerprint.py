"""Keys of crash records: fingerprints of requests, and keys of prompt parts."""

__all__ = ["is_part_key", "prompt_part_key", "request_fingerprint"]

import hashlib

# Size of a fingerprint. The probability of a collision among a million requests is
# below 1e-16.
FINGERPRINT_BYTES = 12
# Distinguishes the key of a part from a fingerprint, which is shorter.
PART_KEY_PREFIX = b"part:"


def request_fingerprint(*, caller: str, method: str, path: str, body: bytes) -> bytes:
    """Return the fingerprint of a request, which is equal for repeated requests.

    Args:
        caller: Name of the calling organisation; empty if unknown.
        method: HTTP method.
        path: Path with query, as sent.
        body: The whole body.

    Returns:
        :data:`FINGERPRINT_BYTES` bytes.

    Example:
        >>> one = request_fingerprint(caller="a", method="GET", path="/", body=b"")
        >>> one == request_fingerprint(caller="a", method="GET", path="/", body=b"")
        True
        >>> one == request_fingerprint(caller="b", method="GET", path="/", body=b"")
        False

    Notes:
        Takes some 2 microseconds, and 1 more per KB of the body.
    """
    digest = hashlib.sha256()
    for part in (caller.encode(), method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]


def prompt_part_key(scope: str, part_id: str) -> bytes:
    """Return the key of a part of a prompt, which is equal for all requests with it.

    Args:
        scope: Service or pipeline that runs the requests.
        part_id: Identifies the content of the part.

    Returns:
        ``PART_KEY_PREFIX`` and :data:`FINGERPRINT_BYTES` bytes.

    Example:
        >>> prompt_part_key("model", "5c1e") == prompt_part_key("model", "5c1e")
        True
        >>> prompt_part_key("model", "5c1e") == prompt_part_key("other", "5c1e")
        False
    """
    name = scope.encode()
    digest = hashlib.sha256(len(name).to_bytes(4, "big") + name)
    digest.update(part_id.encode("utf-8", "surrogateescape"))
    return PART_KEY_PREFIX + digest.digest()[:FINGERPRINT_BYTES]


def is_part_key(key: bytes) -> bool:
    """Return whether a key is that of a part of a prompt.

    Example:
        >>> is_part_key(prompt_part_key("model", "5c1e"))
        True
    """
    return key.startswith(PART_KEY_PREFIX) and len(key) > FINGERPRINT_BYTES
