"""Decoding of the heartbeats with which engines register."""

import ipaddress
import re

from result import Err, Ok, Result

from laburnumrock.dispatch import UpstreamReport, UpstreamState
from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.platform._fields import check_text, read_number, read_text, read_whole

MAX_REPORT_BYTES = 64 * 1024
"""Maximum size of a heartbeat; those of the engines have less than 1 KiB."""
_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


def decode_report(upstream_id: str, body: bytes) -> Result[UpstreamReport, Failure]:
    """Decode a heartbeat.

    Parameters
    ----------
    upstream_id : str
        Engine name from the request path.
    body : bytes
        JSON text.

    Returns
    -------
    Result
        The report, or a failure of kind ``invalid_request`` that names the invalid field.
    """
    try:
        if len(body) > MAX_REPORT_BYTES:
            raise ValueError(f"body of {len(body)} bytes exceeds {MAX_REPORT_BYTES}")
        return Ok(_decode(upstream_id, parse_json(body)))
    except KeyError as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, f"{error} is missing or unknown"))
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, str(error)))


def _decode(upstream_id: str, heartbeat: dict) -> UpstreamReport:
    check_text("id", upstream_id)
    if not upstream_id.isascii():
        # It is sent in a header of each request.
        raise ValueError(f"id: expected ASCII, got {upstream_id!a:.50}")
    host, port = _read_address(read_text(heartbeat, "address"))
    return UpstreamReport(
        upstream_id=upstream_id,
        service=read_text(heartbeat, "service"),
        host=host,
        port=port,
        failure_domain=read_text(heartbeat, "zone"),
        # Unix time in ms at which the engine started; its sequence numbers restart at each start.
        incarnation=read_whole(heartbeat, "born", 0),
        sequence=read_whole(heartbeat, "sequence"),
        slots=read_whole(heartbeat, "slots"),
        state=_STATES[read_text(heartbeat, "state")],
        cold_left_s=read_number(heartbeat, "cold_left_ms", 0.0) / 1000,
    )


def _read_address(address: str) -> tuple[str, int]:
    """Return host and port of an address to which connections can be opened."""
    found = _ADDRESS.fullmatch(address)
    if found is None:
        raise ValueError(f"address: expected IPv4:PORT, got {address!r:.50}")
    host, port = found[1], int(found[2])
    parsed = ipaddress.IPv4Address(host)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        # A connection to 0.0.0.0 would reach this machine.
        raise ValueError(f"address: {host} is no address of a single host")
    if not 0 < port < 65_536:
        raise ValueError(f"address: port {port} does not exist")
    return host, port
