"""A reported error and its problem document."""

from dataclasses import dataclass

from laburnumrock.errors._kinds import ANSWERS, ErrorAnswer, ErrorKind


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected error.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error; determines the HTTP answer.
    detail : str
        Human-readable explanation.
    field_path : str, optional
        Path of the invalid field, such as ``client_accounts[2].limits.requests_per_s``.
    retry_after_s : float, optional
        Time until a retry may succeed, >= 0, in seconds.
    """

    kind: ErrorKind
    detail: str = ""
    field_path: str | None = None
    retry_after_s: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """HTTP answer for the kind of this failure."""
        return ANSWERS[self.kind]

    def __str__(self) -> str:
        prefix = f"{self.field_path}: " if self.field_path else ""
        return f"{self.kind}: {prefix}{self.detail or self.answer.title}"


def problem_document(failure: Failure, request_id: str) -> dict[str, object]:
    """Build the RFC 9457 problem document of a failure.

    Parameters
    ----------
    failure : Failure
        The failure to report.
    request_id : str
        Identifier of the request that failed.

    Returns
    -------
    dict
        Members of the document; unknown optional members are omitted.
    """
    answer = failure.answer
    document: dict[str, object] = {
        "type": f"urn:laburnumrock:error:{failure.kind}",
        "title": answer.title,
        "status": answer.status,
        "detail": failure.detail or answer.title,
        "kind": str(failure.kind),
        "phase": str(answer.phase),
        "outcome": str(answer.outcome),
        "retry": str(answer.retry),
        "request_id": request_id,
    }
    if failure.field_path is not None:
        document["field_path"] = failure.field_path
    if failure.retry_after_s is not None:
        document["retry_after_s"] = round(failure.retry_after_s, 3)
    return document
