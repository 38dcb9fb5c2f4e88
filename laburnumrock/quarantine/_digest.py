"""Digests that tell whether two requests are the same one."""

import hashlib


def digest_request(*parts: bytes) -> str:
    """Return a digest of what makes two requests the same.

    Parameters
    ----------
    *parts : bytes
        Properties of the request in a fixed order, for example method, target and body.

    Returns
    -------
    str
        SHA-256 digest of the parts with their lengths, as 64 hexadecimal digits.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
