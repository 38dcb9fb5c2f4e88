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
# Failures after which the next server is tried; a repeated request carries the same request id.
_RETRY_ON_NEXT_SERVER = frozenset(
    (
        ErrorKind.QUORUM_UNAVAILABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.STOPPING,
        ErrorKind.PEER_UNREACHABLE,
    )
)


@dataclass(frozen=True, slots=True)
class DeclarationsAtRevision:
    """Declarations at the revision that a server reported.

    Parameters
    ----------
    revision : int
        Revision of the declarations.
    declarations : DeclarationSet
        Declarations at this revision.
    """

    revision: int
    declarations: DeclarationSet


@dataclass(slots=True)
class OperatorClient:
    """Client of the operator API that uses the first server that responds.

    Parameters
    ----------
    servers : list of str
        Base URLs in the order of preference.
    key_file : Path, optional
        File with the operator key.
    timeout_s : float, > 0
        Maximum time to wait for one response, in seconds.
    operator : str
        Name of the operator that the history records.
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
        """Send a request to the servers in order until one responds.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            URL-quoted path below ``/operator/v1/``.
        body : dict, optional
            JSON body.

        Returns
        -------
        Result
            The response document, or the failure of the last server that was tried.

        Notes
        -----
        Use it only for calls that are safe to repeat because they only read, carry a request id,
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
            result = asyncio.run(self._call_server(server, key.unwrap(), method, path, body))
            if result.is_ok() or result.unwrap_err().kind not in _RETRY_ON_NEXT_SERVER:
                return result
            failure = result.unwrap_err()
        return Err(failure)

    def read_declarations(self) -> Result[DeclarationsAtRevision, Failure]:
        """Read the declarations from the first server whose copy is confirmed by a quorum.

        Notes
        -----
        With declarations of a stale server, a plan could be empty although the current declarations
        differ.
        """
        failure = Failure(ErrorKind.PEER_UNREACHABLE, "no --server given")
        for server in self.servers:
            single_server_client = OperatorClient(
                [server], self.key_file, self.timeout_s, self.operator
            )
            result = single_server_client.get("declarations")
            if result.is_ok() and not result.unwrap()["stale"]:
                document = result.unwrap()
                found = DeclarationSet.from_plain(document["declarations"])
                return Ok(DeclarationsAtRevision(document["revision"], found))
            if result.is_ok():
                detail = f"the declarations of {server} are not confirmed by a quorum"
                failure = Failure(ErrorKind.QUORUM_UNAVAILABLE, detail)
            elif result.unwrap_err().kind not in _RETRY_ON_NEXT_SERVER:
                return result
            else:
                failure = result.unwrap_err()
        return Err(failure)

    def wait_in_force(self, timeout_s: float, **query: object) -> list[str] | None:
        """Poll until a revision or a hold is in force on all instances.

        Parameters
        ----------
        timeout_s : float, >= 0
            Maximum time to wait, in seconds.
        **query : object
            Either ``revision`` or ``hold``.

        Returns
        -------
        list of str or None
            Instances that still lag at the timeout, empty if in force; None if no server responded.
        """
        deadline_s = time.monotonic() + timeout_s
        lagging: dict[str, list[str]] = {}
        poll_count = 0
        while True:
            # Each poll starts with a different server, since an isolated one sees all others lag.
            start = poll_count % max(1, len(self.servers))
            order = self.servers[start:] + self.servers[:start]
            rotated_client = OperatorClient(order, self.key_file, self.timeout_s, self.operator)
            result = rotated_client.get("in-force", **query)
            if result.is_ok():
                if result.unwrap()["in_force"]:
                    return []
                lagging[order[0]] = result.unwrap()["lagging"]
            if time.monotonic() + POLL_PERIOD_S > deadline_s:
                return min(lagging.values(), key=len, default=None)
            poll_count += 1
            time.sleep(POLL_PERIOD_S)

    def wait_for_voter(self, instance_id: str, member: bool, timeout_s: float) -> bool:
        """Poll the status until its ``voters`` include an instance, or no longer do."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            result = self.get("status")
            voters = result.unwrap().get("voters") if result.is_ok() else None
            if voters is not None and (instance_id in voters) is member:
                return True
            if time.monotonic() + POLL_PERIOD_S > deadline_s:
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
        return _decode_response(server, response)


def _decode_response(server: str, response: HTTPResponse) -> Result[dict, Failure]:
    # Tornado's HTTP client reports its own timeouts as status 599.
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
    return Err(decode_problem(document))


def decode_problem(document: dict) -> Failure:
    """Decode the failure that a problem document describes."""
    try:
        kind = ErrorKind(document.get("kind"))
    except ValueError:
        kind = ErrorKind.INTERNAL
    detail = str(document.get("detail", ""))
    return Failure(kind, detail, document.get("field_path"), document.get("retry_after_s"))
