"""Hashes that identify prompt prefixes in the cache events of engines."""

import hashlib

# Prefix lengths, in tokens, for which an engine reports cache events.
PREFIX_LENGTHS = (256, 1_024, 4_096, 16_384, 65_536)
HASH_DIGITS = 16


def hash_prefixes(tokens: list[str]) -> tuple[tuple[int, str], ...]:
    """Return length and hash of each cacheable prefix of a prompt.

    Parameters
    ----------
    tokens : list of str
        Tokens of the prompt.

    Returns
    -------
    tuple of (int, str)
        Shortest prefix first. The hash is computed over the tokens joined by single spaces.
    """
    digest = hashlib.sha256()
    hashes = []
    start = 0
    for length in PREFIX_LENGTHS:
        if length > len(tokens):
            break
        separator = " " if start else ""
        digest.update((separator + " ".join(tokens[start:length])).encode())
        hashes.append((length, digest.copy().hexdigest()[:HASH_DIGITS]))
        start = length
    return tuple(hashes)
