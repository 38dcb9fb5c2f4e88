"""Decoding of the heartbeats with which engines register."""

from result import Err, Ok, Result

from laburnumrock.dispatch import UpstreamReport, UpstreamState
from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
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
    except (ValueError, TypeError, AttributeError) as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, str(error)))


def _decode(upstream_id: str, heartbeat: dict) -> UpstreamReport:
    host, port = split_address(_get_typed(heartbeat, "address", str))
    born = heartbeat.get("born", 0)
    if type(born) is not int:
        raise ValueError(f"born: expected a whole number, got {born!r}")
    return UpstreamReport(
        upstream_id=upstream_id,
        service=_get_typed(heartbeat, "service", str),
        host=host,
        port=port,
        failure_domain=_get_typed(heartbeat, "zone", str),
        # Unix time in ms at which the engine started; its sequence numbers restart at each start.
        incarnation=born,
        sequence=_get_typed(heartbeat, "sequence", int),
        slots=_get_typed(heartbeat, "slots", int),
        state=_STATES[_get_typed(heartbeat, "state", str)],
        cold_left_s=float(heartbeat.get("cold_left_ms") or 0) / 1000,
    )


def _get_typed(heartbeat: dict, name: str, expected: type) -> object:
    value = heartbeat[name]
    if type(value) is not expected:
        raise ValueError(f"{name}: expected {expected.__name__}, got {value!r}")
    return value
