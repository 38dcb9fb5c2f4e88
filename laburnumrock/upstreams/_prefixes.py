"""Names of prompt prefixes in the cache events of engines."""

import hashlib

# Prefix lengths, in tokens, for which an engine reports cache events.
PREFIX_LENGTHS = (256, 1_024, 4_096, 16_384, 65_536)
HASH_DIGITS = 16


def hash_prefixes(words: list[str]) -> tuple[tuple[int, str], ...]:
    """Return length and hash of each cacheable prefix of a prompt.

    Parameters
    ----------
    words : list of str
        Tokens of the prompt.

    Returns
    -------
    tuple of (int, str)
        Shortest prefix first. The hash is that of the words joined by single spaces.
    """
    digest = hashlib.sha256()
    hashes = []
    start = 0
    for length in PREFIX_LENGTHS:
        if length > len(words):
            break
        separator = " " if start else ""
        digest.update((separator + " ".join(words[start:length])).encode())
        hashes.append((length, digest.copy().hexdigest()[:HASH_DIGITS]))
        start = length
    return tuple(hashes)
