"""JSON parser with a limit on nesting."""

import json
import re
from array import array
from itertools import accumulate

MAX_JSON_DEPTH = 64
"""Maximum depth of nested arrays and objects; the interfaces use fewer than ten levels."""

MAX_JSON_CONTAINERS = 500_000
"""Maximum number of arrays and objects; the largest documents of operators have about 100,000."""

# A string without an end extends to the end of the text; otherwise the search would start again at
# each of its escaped quotes, which takes time quadratic in its length.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
_NO_BRACKETS = bytes(set(range(256)) - set(b"[{]}"))
_STEPS = bytes.maketrans(b"[{]}", b"\x01\x01\xff\xff")


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
        If the text is not JSON, is nested deeper than `MAX_JSON_DEPTH` or has more arrays and
        objects than `MAX_JSON_CONTAINERS`.

    Notes
    -----
    The parser of the standard library is recursive. If the garbage collector runs close to the
    recursion limit, the destructors of unrelated objects fail as well, so the depth is checked
    before the text is parsed.
    """
    if data.count(b"[") + data.count(b"{") > MAX_JSON_DEPTH:
        brackets = _STRING.sub(b"", data).translate(_STEPS, _NO_BRACKETS)
        if brackets.count(b"\x01") > MAX_JSON_CONTAINERS:
            raise ValueError(f"more than {MAX_JSON_CONTAINERS} arrays and objects")
        if max(accumulate(array("b", brackets)), default=0) > MAX_JSON_DEPTH:
            raise ValueError(f"nested deeper than {MAX_JSON_DEPTH} levels")
    return json.loads(data)
