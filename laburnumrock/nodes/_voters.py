"""Changes of the voters that a leading core plans."""

from eliot import log_message

from laburnumrock.daemon import LogTask


def plan_voters(log: LogTask, now_s: float) -> None:
    """Start the next change of the voters, if the policy of the log asks for one."""
    runner = log.runner
    change = log.voter_policy.next_change(runner.node, now_s) if runner.node else None
    if change is None:
        return
    effects = change.start(runner.node, now_s)
    if effects is not None:
        log_message("voter_change", action=change.action, subject=change.instance_id)
        runner.enqueue(effects)
