"""Changes of the voters that a leading core plans."""

from eliot import log_message

from laburnumrock.daemon import LogTask
from laburnumrock.replication import VoterPolicy


def plan_voters(policy: VoterPolicy, log: LogTask, now_s: float) -> None:
    """Start the next change of the voters, if the policy asks for one."""
    runner = log.runner
    change = policy.next_change(runner.node, now_s) if runner.node else None
    if change is None:
        return
    effects = change.start(runner.node, now_s)
    log_message("voter_change", action=change.action, subject=change.instance_id)
    if effects is not None:
        runner.enqueue(effects)
