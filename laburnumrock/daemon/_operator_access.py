"""Operator functions of the daemon other than declaration changes."""

import time

from result import Err, Ok, Result

from laburnumrock.daemon._lifecycle import Lifecycle
from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.daemon._pool_directory import PoolDirectory
from laburnumrock.declarations import DeclarationView
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.journal import (
    RECONCILE_GRACE_S,
    OperationAnswer,
    OperationOutcome,
    OperationState,
)
from laburnumrock.messages import to_plain
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import TrafficCounts


class OperationAdmin:
    """Shows and reconciles non-idempotent operations.

    Parameters
    ----------
    operations : OperationClient
        Client of the operation journal.
    """

    def __init__(self, operations: OperationClient) -> None:
        self.operations = operations

    async def find_operation(self, account: str, key: str) -> Result[dict[str, object], Failure]:
        """Return the state of an operation as plain data."""
        found = await self.operations.find(account, key)
        return found.and_then(_describe_operation)

    async def reconcile(
        self, account: str, key: str, outcome: str, source: str, operator: str, request_id: str
    ) -> Result[dict[str, object], Failure]:
        """Record the outcome of an unknown operation and where this information came from.

        Notes
        -----
        The journal checks the current state of the operation, so a retry has no further effect.
        """
        try:
            parsed_outcome = OperationOutcome(outcome)
        except ValueError:
            detail = f"{outcome!r} is not one of {', '.join(OperationOutcome)}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, field_path="outcome"))
        settled = await self.operations.reconcile(
            account, key, parsed_outcome, f"{operator}: {source}"
        )
        return settled.and_then(_check_reconciled).and_then(_describe_operation)


class VoterAdmin:
    """Adds and removes voters of the replicated log.

    Parameters
    ----------
    log : LogTask
        Access to the replicated log.
    """

    def __init__(self, log: LogTask) -> None:
        self.log = log

    async def change_voter(self, action: str, instance_id: str) -> Result[dict, Failure]:
        """Add or remove a voter."""
        known_ids = [peer.instance_id for peer in self.log.settings.peers]
        if instance_id not in known_ids:
            detail = f"no instance {instance_id!r} in the settings"
            return Err(Failure(ErrorKind.NOT_FOUND, detail, field_path="instance_id"))
        changed = await self.log.change_voters(action, instance_id)
        return changed.map(lambda _: {"action": action, "instance_id": instance_id})


class StatusReporter:
    """Reports the status of the instance to operators.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    lifecycle : Lifecycle
        Lifecycle state of the instance.
    log : LogTask
        Replicated log.
    ownership : OwnershipTask
        Coordinator and pool ownership.
    directory : PoolDirectory
        Known pools of all failure domains.
    view : DeclarationView
        Declarations applied on this instance.
    traffic : TrafficCounts
        Counts of the messages exchanged with other instances.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        lifecycle: Lifecycle,
        log: LogTask,
        ownership: OwnershipTask,
        directory: PoolDirectory,
        view: DeclarationView,
        traffic: TrafficCounts,
    ) -> None:
        self.settings = settings
        self.lifecycle = lifecycle
        self.log = log
        self.ownership = ownership
        self.directory = directory
        self.view = view
        self.traffic = traffic

    def describe_status(self) -> dict[str, object]:
        """Return the status of this instance as plain data, without credentials."""
        now_s = time.monotonic()
        return {
            "instance": self.settings.instance_id,
            "failure_domain": self.settings.failure_domain,
            "state": self.lifecycle.state,
            # The request for this status counts as running itself.
            "running_requests": max(0, self.lifecycle.running_requests - 1),
            "revision": self.view.revision,
            "stale": self.view.is_stale(now_s),
            "log_leader": self.log.is_leader,
            "log_term": self.log.term,
            "voters": self.log.voters(),
            "coordinator": self.ownership.find_coordinator(),
            "owned_pools": sorted(self.ownership.owned_pools()),
            "pools": self._describe_pools(),
            "traffic": self.traffic.describe(),
        }

    def _describe_pools(self) -> dict[str, object]:
        pools = {}
        for pool_id in sorted(self.directory.pools):
            owner = self.directory.find_owner(pool_id)
            summary = self.directory.pools[pool_id].summary
            pools[pool_id] = {
                "owner": None if owner is None else owner.instance_id,
                "load": None if summary is None else to_plain(summary),
            }
        return pools


def _check_reconciled(answer: OperationAnswer) -> Result[OperationAnswer, Failure]:
    if answer.accepted:
        return Ok(answer)
    if answer.state is None:
        return Err(Failure(ErrorKind.NOT_FOUND, "no operation with this key"))
    if answer.state is OperationState.UNKNOWN:
        detail = "the owner may still send the call until the limit of its claim has passed"
        wait_s = max(0.0, answer.limit_s + RECONCILE_GRACE_S - answer.age_s)
        return Err(Failure(ErrorKind.OPERATION_IN_PROGRESS, detail, retry_after_s=wait_s))
    detail = f"the operation is {answer.state}, only an unknown outcome can be reconciled"
    return Err(Failure(ErrorKind.INVALID_REQUEST, detail))


def _describe_operation(answer: OperationAnswer) -> Result[dict[str, object], Failure]:
    document = to_plain(answer)
    if answer.answer is not None:
        document["answer"]["body"] = answer.answer.body.decode("utf-8", "replace")
    return Ok(document)
