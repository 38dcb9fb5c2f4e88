"""Requests and responses as bytes, for tests that need their own connections."""

import json
import re

from laburnumrock.gateway.tests.fakes import KEY

INTERIM = re.compile(rb"^(HTTP/1\.1 1\d\d [^\r]*\r\n\r\n)+")


def make_request(path, body, method="POST", key=KEY, **headers):
    """Return the bytes of a whole request on a connection that is kept alive."""
    data = json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(data)}"]
    lines += ["X-Client-Account: merchant", f"Authorization: Bearer {key}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + data


def parse(data):
    """Return the status, the headers and the body of a response that must be whole."""
    data = INTERIM.sub(b"", data)
    assert data, "the connection was closed without an answer"
    head, _, rest = data.partition(b"\r\n\r\n")
    status_line, *lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            chunk, end, rest = rest[:length], rest[length : length + 2], rest[length + 2 :]
            assert (len(chunk), end) == (length, b"\r\n")
            if length == 0:
                break
            body += chunk
        assert rest == b""
    else:
        body = rest
        assert len(body) == int(headers["content-length"])
    return int(status_line.split()[1]), headers, body
