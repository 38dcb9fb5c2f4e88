"""Active sends as an entry node records them."""

from dataclasses import dataclass

from laburnumrock.dispatch import ActiveSendReport, DispatchAnswer, DispatchCall


@dataclass(slots=True)
class ActiveSendRecord:
    """Send that has not ended yet, as recorded by the entry node that placed it."""

    call: DispatchCall
    answer: DispatchAnswer
    sent_s: float
    writing: bool = False


def describe_send(sent: ActiveSendRecord, now_s: float) -> ActiveSendReport:
    """Describe a send to a leader that does not know it."""
    call = sent.call
    return ActiveSendReport(
        sent.answer.permit,
        sent.answer.upstream_id,
        call.prompt_tokens,
        call.output_tokens,
        call.gap_goal_s,
        now_s - sent.sent_s,
        sent.writing,
        [helper.upstream_id for helper in sent.answer.helpers],
    )
