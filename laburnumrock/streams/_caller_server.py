"""HTTP server whose callers may close their sending side and read on."""

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from laburnumrock.streams._caller_stream import wrap_caller


class CallerServer(HTTPServer):
    """Server that responds to a whole request after its caller has closed its sending side."""

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Start to serve an accepted connection."""
        super().handle_stream(wrap_caller(stream), address)
