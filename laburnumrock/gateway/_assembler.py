"""Assembly of one completion from the event streams of one or more attempts."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._sse import DONE, ServerEvent


@dataclass(slots=True)
class CompletionAssembler:
    """Verifies that tokens belong to this request and arrive in order without gaps.

    Parameters
    ----------
    request_id : str
        Request whose completion is assembled.
    attempt : int
        Current attempt; events of other attempts are dropped.
    next_index : int
        Index of the next expected token.
    finish_reason : str, optional
        Reason given with the last token.
    complete : bool
        Whether the end marker was received after the last token.
    dropped_events : int
        Number of events that belonged to another request or attempt, or repeated a token.
    """

    request_id: str
    attempt: int = 0
    next_index: int = 0
    finish_reason: str | None = None
    complete: bool = False
    dropped_events: int = field(default=0)

    def start_attempt(self, attempt: int) -> None:
        """Start a new attempt that resumes at `next_index`."""
        self.attempt = attempt
        self.complete = False
        self.finish_reason = None

    def accept(self, event: ServerEvent) -> Result[str | None, Failure]:
        """Process one event of an engine.

        Parameters
        ----------
        event : ServerEvent
            Received event.

        Returns
        -------
        Result
            Text to deliver, None when there is nothing to deliver, or a failure of kind
            ``upstream_failed`` when the stream cannot belong to this request.
        """
        if event.data == DONE:
            return self._accept_end()
        try:
            token = parse_json(event.data.encode())
            request_id, attempt = token["request_id"], token["attempt"]
            index, text = token["index"], token["text"]
            finish_reason = token["finish_reason"]
        except (ValueError, KeyError, TypeError) as error:
            return _make_error(f"malformed event: {error!r}")
        if (request_id, attempt) != (self.request_id, self.attempt):
            self.dropped_events += 1
            return Ok(None)
        if self.finish_reason is not None or not isinstance(text, str):
            return _make_error("unexpected event after the last token")
        if type(index) is not int or index > self.next_index:
            return _make_error(f"expected token {self.next_index}, got {index}")
        if index < self.next_index:
            self.dropped_events += 1
            return Ok(None)
        self.next_index += 1
        self.finish_reason = finish_reason
        return Ok(text)

    def _accept_end(self) -> Result[str | None, Failure]:
        if self.finish_reason is None:
            return _make_error("end marker before the last token")
        self.complete = True
        return Ok(None)


def _make_error(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.UPSTREAM_FAILED, detail))
