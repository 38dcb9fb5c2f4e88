"""Decoding of the heartbeats with which engines register."""

import ipaddress

from result import Err, Ok, Result

from laburnumrock.dispatch import UpstreamReport, UpstreamState
from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.platform._fields import read_number, read_text, read_whole
from laburnumrock.platform._settings import split_address

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
        return Ok(_decode(upstream_id, parse_json(body)))
    except KeyError as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, f"{error} is missing or unknown"))
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, str(error)))


def _decode(upstream_id: str, heartbeat: dict) -> UpstreamReport:
    host, port = split_address(read_text(heartbeat, "address"))
    ipaddress.ip_address(host)
    if not 0 < port < 65_536:
        raise ValueError(f"address: port {port} does not exist")
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
