"""Use of the quarantine of prompts by both kinds of dispatchers."""

from laburnumrock.dispatch._messages import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.quarantine import CrashQuarantine


def refuse_quarantined(
    quarantine: CrashQuarantine, call: DispatchCall, now_s: float
) -> DispatchAnswer | None:
    """Return the refusal of a request whose prompt is quarantined, or None."""
    release_s = quarantine.find_release_s(call.parts, now_s)
    if release_s <= 0:
        return None
    refusal = ErrorKind.PROMPT_QUARANTINED.value
    return DispatchAnswer(refusal=refusal, retry_after_s=round(release_s, 2))


def record_parts(quarantine: CrashQuarantine, message: SendEnded, now_s: float) -> None:
    """Record what the end of a send shows about the parts of its prompt."""
    if message.outcome is SendOutcome.DONE:
        quarantine.record_success(message.parts)
    elif message.outcome is SendOutcome.CRASHED:
        quarantine.record_crash(message.parts, now_s - message.duration_s, now_s)
