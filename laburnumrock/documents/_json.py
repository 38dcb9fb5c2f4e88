"""JSON parser with a limit on nesting."""

import json
import re

MAX_JSON_DEPTH = 64
"""Maximum depth of nested arrays and objects; the interfaces use fewer than ten levels."""

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]|[\]}]', re.DOTALL)


def parse_json(data: bytes) -> object:
    """Parse JSON text from an untrusted source.

    Parameters
    ----------
    data : bytes
        JSON text in UTF-8.

    Returns
    -------
    object
        The parsed document.

    Raises
    ------
    ValueError
        If the text is not JSON or is nested deeper than `MAX_JSON_DEPTH`.

    Notes
    -----
    The parser of the standard library is recursive. If the garbage collector runs close to the
    recursion limit, the destructors of unrelated objects fail as well, so the depth is checked
    before the text is parsed.
    """
    if data.count(b"[") + data.count(b"{") > MAX_JSON_DEPTH and _is_too_deep(data):
        raise ValueError(f"nested deeper than {MAX_JSON_DEPTH} levels")
    return json.loads(data)


def _is_too_deep(data: bytes) -> bool:
    depth = 0
    for token in _TOKEN.finditer(data):
        first = token[0][:1]
        if first in b"[{":
            depth += 1
            if depth > MAX_JSON_DEPTH:
                return True
        elif first in b"]}":
            depth -= 1
    return False
