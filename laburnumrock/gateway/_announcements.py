"""HTTP handler for ``POST /upstreams/announcements``."""

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._bodies import AnnouncementBody, parse_body
from laburnumrock.gateway._handler import BodyHandler


class AnnouncementsHandler(BodyHandler):
    """Receives announcements from upstreams in this failure domain."""

    def post(self) -> None:
        """Validate an announcement and forward it to the pool owner."""
        self.end_reading()
        body = self.read_body().and_then(lambda data: parse_body(AnnouncementBody, data))
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        own_domain = self.services.settings.failure_domain
        announced = body.unwrap().failure_domain
        if announced != own_domain:
            detail = f"this instance is in failure domain {own_domain!r}, got {announced!r}"
            failure = Failure(ErrorKind.INVALID_REQUEST, detail, field_path="failure_domain")
            self.finish_with_failure(failure)
            return
        self.services.announce(body.unwrap().to_announcement())
        self.set_status(202)
        self.finish({})
