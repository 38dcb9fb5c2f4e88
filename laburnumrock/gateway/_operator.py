"""HTTP handlers of the operator API."""

import time
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field
from result import Ok

from laburnumrock.declarations import (
    ApplyChange,
    ChangeAnswer,
    changes_to_plain,
    parse_changes,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._operator_base import OperatorHandler
from laburnumrock.gateway._operator_orders import OrdersHandler
from laburnumrock.gateway._operator_services import OperatorServices
from laburnumrock.messages import to_plain

PREFIX = "/operator/v1"
DEFAULT_HISTORY_ENTRIES = 50
# Largest integer that every JSON parser represents exactly.
MAX_REVISION = 2**53 - 1
# The length limit bounds the table of recorded responses in the replicated state.
# Request ids with a slash are reserved for the declaration store, which uses them for holds.
RequestId = Annotated[str, Field(pattern=r"^[^\s/]{1,200}$")]
# Half of the maximum frame size between instances.
MAX_CHANGES_BYTES = 2 * 1024 * 1024


class _StrictBody(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class ChangesBody(_StrictBody):
    """Body of ``POST changes``; `parse_changes` validates the changes themselves."""

    request_id: RequestId
    base_revision: int = Field(ge=0, le=MAX_REVISION)
    changes: list[dict]


class HoldBody(_StrictBody):
    """Body of ``POST holds``."""

    failure_domain: str = Field(min_length=1, max_length=200)


class ReconcileBody(_StrictBody):
    """Body of ``POST operations/{account}/{key}/reconcile``."""

    outcome: Literal["done", "not_run"]
    source: str = Field(min_length=1, max_length=2_000)
    request_id: RequestId | None = None


class VoterBody(_StrictBody):
    """Body of ``POST voters``."""

    action: Literal["add", "remove"]
    instance_id: str = Field(min_length=1, max_length=200)


class StatusHandler(OperatorHandler):
    """``GET status``."""

    def get(self) -> None:
        """Return the status of this instance."""
        view = self.services.declarations.view
        now_s = time.monotonic()
        status = {
            "revision": view.revision,
            "stale": view.is_stale(now_s),
            "confirmed_age_s": view.confirmed_age_s(now_s),
            "holds": [to_plain(hold) for hold in view.holds.entries() if hold.held],
        }
        self.write_result(Ok(status | self.services.status.describe_status()))


class DeclarationsHandler(OperatorHandler):
    """``GET declarations``."""

    def get(self) -> None:
        """Return the declarations currently applied by this instance."""
        view = self.services.declarations.view
        document = {
            "revision": view.revision,
            "stale": view.is_stale(time.monotonic()),
            "declarations": view.current.to_plain(),
        }
        self.write_result(Ok(document))


class ChangesHandler(OperatorHandler):
    """``POST changes``."""

    async def post(self) -> None:
        """Commit a set of changes to the declarations."""
        if len(self.request.body) > MAX_CHANGES_BYTES:
            detail = f"at most {MAX_CHANGES_BYTES} bytes are allowed; split the change"
            self.finish_with_failure(Failure(ErrorKind.BODY_TOO_LARGE, detail))
            return
        body = self.read_body(ChangesBody)
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        request = body.unwrap()
        self.request_id = request.request_id
        changes = parse_changes(request.changes)
        if changes.is_err():
            self.finish_with_failure(changes.unwrap_err())
            return
        command = ApplyChange(
            request.request_id,
            request.base_revision,
            changes_to_plain(changes.unwrap()),
            self.operator,
            time.time(),
        )
        answer = await self.services.declarations.submit(command)
        self.write_result(answer.map(_describe_change))


class InForceHandler(OperatorHandler):
    """``GET in-force?revision=N``, or ``GET in-force?hold=DOMAIN`` for a local hold."""

    async def get(self) -> None:
        """Return whether a revision or hold is in force, and the lagging instances."""
        hold = self.get_query_argument("hold", None)
        if hold is not None:
            lagging = await self.services.declarations.find_instances_without_hold(hold)
            self.write_result(Ok({"in_force": not lagging, "lagging": lagging}))
            return
        revision = self.read_number("revision", None)
        if revision.is_err():
            self.finish_with_failure(revision.unwrap_err())
            return
        lagging = await self.services.declarations.find_lagging_instances(revision.unwrap())
        self.write_result(Ok({"in_force": not lagging, "lagging": lagging}))


class HistoryHandler(OperatorHandler):
    """``GET history?limit=N``."""

    async def get(self) -> None:
        """Return the most recent changes, oldest first."""
        limit = self.read_number("limit", DEFAULT_HISTORY_ENTRIES)
        if limit.is_err():
            self.finish_with_failure(limit.unwrap_err())
            return
        entries = await self.services.declarations.read_history(limit.unwrap())
        self.write_result(entries.map(lambda found: {"entries": to_plain(found)}))


class HoldsHandler(OperatorHandler):
    """``POST holds``."""

    def post(self) -> None:
        """Place a hold on the failure domain of this instance."""
        body = self.read_body(HoldBody)
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        domain = body.unwrap().failure_domain
        self.write_result(self.services.declarations.add_hold(domain, self.operator).map(to_plain))


class HoldHandler(OperatorHandler):
    """``DELETE holds/{failure_domain}``."""

    def delete(self, failure_domain: str) -> None:
        """Remove a hold."""
        removed = self.services.declarations.remove_hold(failure_domain, self.operator)
        self.write_result(removed.map(to_plain))


class OperationHandler(OperatorHandler):
    """``GET operations/{account}/{key}``."""

    async def get(self, account: str, key: str) -> None:
        """Return the state of an operation."""
        self.write_result(await self.services.operations.find_operation(account, key))


class ReconcileHandler(OperatorHandler):
    """``POST operations/{account}/{key}/reconcile``."""

    async def post(self, account: str, key: str) -> None:
        """Record the outcome of an operation whose outcome is unknown."""
        body = self.read_body(ReconcileBody)
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        request = body.unwrap()
        self.request_id = request.request_id or self.request_id
        result = await self.services.operations.reconcile(
            account, key, request.outcome, request.source, self.operator, self.request_id
        )
        self.write_result(result)


class VotersHandler(OperatorHandler):
    """``POST voters``."""

    async def post(self) -> None:
        """Add a voter to the replicated log or remove one."""
        body = self.read_body(VoterBody)
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        request = body.unwrap()
        result = await self.services.voters.change_voter(request.action, request.instance_id)
        self.write_result(result)


class UnknownPathHandler(OperatorHandler):
    """Handles all other paths below the prefix."""

    def prepare(self) -> None:
        """Authenticate the operator, then respond with ``not_found``."""
        super().prepare()
        if not self._finished:
            self.finish_with_failure(
                Failure(ErrorKind.NOT_FOUND, f"{self.request.path} does not exist")
            )


def operator_routes(services: OperatorServices) -> list[tuple]:
    """Return the tornado routes of the operator API.

    Parameters
    ----------
    services : OperatorServices
        Services used by the handlers.

    Returns
    -------
    list of tuple
        Route patterns, handler classes and handler arguments for `tornado.web.Application`.
    """
    arguments = {"services": services}
    operation = "/operations/([^/]+)/([^/]+)"
    routes = [
        ("/status", StatusHandler),
        ("/declarations", DeclarationsHandler),
        ("/changes", ChangesHandler),
        ("/in-force", InForceHandler),
        ("/history", HistoryHandler),
        ("/holds", HoldsHandler),
        ("/holds/([^/]+)", HoldHandler),
        (operation, OperationHandler),
        (operation + "/reconcile", ReconcileHandler),
        ("/voters", VotersHandler),
        ("/orders", OrdersHandler),
        ("/.*", UnknownPathHandler),
    ]
    return [(PREFIX + path, handler, arguments) for path, handler in routes]


def _describe_change(answer: ChangeAnswer) -> dict[str, object]:
    return {"request_id": answer.request_id, "revision": answer.revision, "applied": True}
