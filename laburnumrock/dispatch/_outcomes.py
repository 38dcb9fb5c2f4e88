"""Use of the quarantine of requests and prompts by both kinds of dispatchers."""

from collections.abc import Callable

from laburnumrock.dispatch._messages import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.quarantine import CrashQuarantine


def refuse_quarantined(
    quarantine: CrashQuarantine, call: DispatchCall, now_s: float
) -> DispatchAnswer | None:
    """Return the refusal of a request that is quarantined, itself or for its prompt, or None."""
    release_s = quarantine.find_release_s(call.parts, now_s)
    if release_s <= 0:
        return None
    kind = ErrorKind.PROMPT_QUARANTINED
    if quarantine.is_quarantined_request(call.parts):
        kind = ErrorKind.REQUEST_QUARANTINED
    return DispatchAnswer(refusal=kind.value, retry_after_s=round(release_s, 2))


def record_parts(
    quarantine: CrashQuarantine,
    message: SendEnded,
    now_s: float,
    is_counted: Callable[[str], bool] | None = None,
    is_shared: bool = True,
) -> None:
    """Record what the end of a send shows about its request and the parts of its prompt.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Where it is recorded.
    message : SendEnded
        The end of the send.
    now_s : float
        Monotonic clock in seconds.
    is_counted : callable, optional
        Selects the names whose crashes are counted; all of them by default.
    is_shared : bool
        Whether the leader learns of the same end.
    """
    if message.outcome is SendOutcome.DONE:
        quarantine.record_success(message.parts)
    elif message.outcome is SendOutcome.CRASHED:
        names = [name for name in message.parts if is_counted is None or is_counted(name)]
        started_s = now_s - message.duration_s
        upstream = message.crashed_upstream
        quarantine.record_crash(names, started_s, now_s, is_shared, upstream)
