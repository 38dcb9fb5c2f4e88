"""HTTP client of the operator API."""

import asyncio
import json
import time
import urllib.parse
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from laburnumrock.declarations import DeclarationSet
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings import read_key

CONNECT_TIMEOUT_S = 2.0
POLL_PERIOD_S = 0.2
# Answers after which another server may know better; a resend carries the same request id.
_TRY_NEXT = frozenset(
    (
        ErrorKind.QUORUM_UNAVAILABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.STOPPING,
        ErrorKind.PEER_UNREACHABLE,
    )
)


@dataclass(frozen=True, slots=True)
class Declared:
    """Declarations as a server reported them.

    Parameters
    ----------
    revision : int
        Their revision.
    declarations : DeclarationSet
        The set.
    """

    revision: int
    declarations: DeclarationSet


@dataclass(slots=True)
class OperatorClient:
    """Calls the operator API of the first server that answers.

    Parameters
    ----------
    servers : list of str
        Base URLs in the order of preference.
    key_file : Path, optional
        File with the operator key.
    timeout_s : float, > 0
        Longest wait for one answer in seconds.
    operator : str
        Name for the history.
    """

    servers: list[str]
    key_file: Path | None
    timeout_s: float
    operator: str

    def get(self, path: str, **query: object) -> Result[dict, Failure]:
        """Read a resource."""
        text = urllib.parse.urlencode(query)
        return self.call("GET", f"{path}?{text}" if text else path)

    def call(self, method: str, path: str, body: dict | None = None) -> Result[dict, Failure]:
        """Send a request to one server after the other until one answers.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below ``/operator/v1/``, quoted.
        body : dict, optional
            JSON body.

        Returns
        -------
        Result
            The answer, or the failure that the last server reported.

        Notes
        -----
        Only calls whose repetition is harmless are made this way: they read, carry a request id,
        or set a state.
        """
        if self.key_file is None:
            detail = "give --operator-key-file"
            return Err(Failure(ErrorKind.UNAUTHENTICATED, detail))
        key = read_key(self.key_file)
        if key.is_err():
            return key
        failure = Failure(ErrorKind.PEER_UNREACHABLE, "no --server given")
        for server in self.servers:
            answer = asyncio.run(self._call_server(server, key.unwrap(), method, path, body))
            if answer.is_ok() or answer.unwrap_err().kind not in _TRY_NEXT:
                return answer
            failure = answer.unwrap_err()
        return Err(failure)

    def read_declarations(self) -> Result[Declared, Failure]:
        """Read the declarations from the first server that has confirmed ones.

        Notes
        -----
        A stale server could make a plan look empty although the present declarations differ.
        """
        failure = Failure(ErrorKind.PEER_UNREACHABLE, "no --server given")
        for server in self.servers:
            single = OperatorClient([server], self.key_file, self.timeout_s, self.operator)
            answer = single.get("declarations")
            if answer.is_ok() and not answer.unwrap()["stale"]:
                document = answer.unwrap()
                found = DeclarationSet.from_plain(document["declarations"])
                return Ok(Declared(document["revision"], found))
            if answer.is_ok():
                detail = f"the declarations of {server} are not confirmed by a quorum"
                failure = Failure(ErrorKind.QUORUM_UNAVAILABLE, detail)
            elif answer.unwrap_err().kind not in _TRY_NEXT:
                return answer
            else:
                failure = answer.unwrap_err()
        return Err(failure)

    def wait_in_force(self, timeout_s: float, **query: object) -> list[str] | None:
        """Wait until a revision or a hold is in force.

        Parameters
        ----------
        timeout_s : float, >= 0
            Longest wait in seconds.
        **query : object
            ``revision`` or ``hold``.

        Returns
        -------
        list of str or None
            Instances that lag at the end, empty when in force; None when no server answered.
        """
        end_s = time.monotonic() + timeout_s
        lagging: dict[str, list[str]] = {}
        turn = 0
        while True:
            # Each poll starts with another server: an isolated one sees all others lag.
            start = turn % max(1, len(self.servers))
            order = self.servers[start:] + self.servers[:start]
            rotated = OperatorClient(order, self.key_file, self.timeout_s, self.operator)
            answer = rotated.get("in-force", **query)
            if answer.is_ok():
                if answer.unwrap()["in_force"]:
                    return []
                lagging[order[0]] = answer.unwrap()["lagging"]
            if time.monotonic() + POLL_PERIOD_S > end_s:
                return min(lagging.values(), key=len, default=None)
            turn += 1
            time.sleep(POLL_PERIOD_S)

    def wait_for_voter(self, instance_id: str, member: bool, timeout_s: float) -> bool:
        """Wait until an instance is, or is not, among the ``voters`` of the status."""
        end_s = time.monotonic() + timeout_s
        while True:
            answer = self.get("status")
            voters = answer.unwrap().get("voters") if answer.is_ok() else None
            if voters is not None and (instance_id in voters) is member:
                return True
            if time.monotonic() + POLL_PERIOD_S > end_s:
                return False
            time.sleep(POLL_PERIOD_S)

    async def _call_server(
        self, server: str, key: bytes, method: str, path: str, body: dict | None
    ) -> Result[dict, Failure]:
        client = AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                f"{server.rstrip('/')}/operator/v1/{path}",
                method=method,
                headers={"Authorization": b"Bearer " + key, "X-Operator": self.operator},
                body=None if body is None else json.dumps(body),
                connect_timeout=min(CONNECT_TIMEOUT_S, self.timeout_s),
                request_timeout=self.timeout_s,
                raise_error=False,
                follow_redirects=False,
            )
        except (OSError, HTTPClientError, ValueError) as error:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"{server}: {error}"))
        finally:
            client.close()
        return _read_response(server, response)


def _read_response(server: str, response: HTTPResponse) -> Result[dict, Failure]:
    # The client reports its own timeouts as status 599.
    if response.code == 599:
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"{server}: {response.reason}"))
    try:
        document = json.loads(response.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        detail = f"{server}: status {response.code} without a JSON document"
        return Err(Failure(ErrorKind.INTERNAL, detail))
    if response.code < 400:
        return Ok(document)
    return Err(read_problem(document))


def read_problem(document: dict) -> Failure:
    """Build the failure that a problem document describes."""
    try:
        kind = ErrorKind(document.get("kind"))
    except ValueError:
        kind = ErrorKind.INTERNAL
    detail = str(document.get("detail", ""))
    return Failure(kind, detail, document.get("field_path"), document.get("retry_after_s"))
