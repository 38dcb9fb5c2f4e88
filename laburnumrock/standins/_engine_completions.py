"""Completions of the model engine emulator."""

import asyncio
import json

from tornado.iostream import StreamClosedError

from laburnumrock.standins._engine import hash_prompt, token_text
from laburnumrock.standins._engine_base import EngineHandler, fetch_segment
from laburnumrock.standins._parameters import (
    EngineRequest,
    RefusalReason,
    RequestAborted,
    TokenEvent,
)
from laburnumrock.upstreams import hash_prefixes

WATCH_INTERVAL_S = 0.25


class CompletionHandler(EngineHandler):
    """``POST /v1/completions``: streams the tokens of a completion."""

    stream_key: tuple[str, int] | None = None

    async def post(self) -> None:
        """Run a completion."""
        body = self.read_body(request_id=str, attempt=int, prompt=str, max_tokens=int)
        request = await self._read_request(body)
        if request is None:
            return
        events = self.engine.submit(request)
        if isinstance(events, RefusalReason):
            self.refuse(503, events)
            return
        self.stream_key = (request.request_id, request.attempt)
        self.set_header("Content-Type", "text/event-stream")
        watch = asyncio.create_task(self._watch_segments(request.request_id))
        try:
            await self._stream(request, events, hash_prompt(body["prompt"]))
        except StreamClosedError:
            await self._drain(events)
        finally:
            watch.cancel()
            if self.engine.streams.get(self.stream_key) is events:
                del self.engine.streams[self.stream_key]

    def on_connection_close(self) -> None:
        """Cancel the request if the engine is set to do so; it runs on otherwise."""
        if self.stream_key in self.engine.streams and self.engine.options.cancels_on_disconnect:
            self.engine.cancel(self.stream_key[0])

    async def _read_request(self, body: dict[str, object]) -> EngineRequest | None:
        orders = self.engine.orders
        if body.get("model") not in orders.models:
            self.refuse(404, "unknown_model")
            return None
        if body.get("adapter") and body["adapter"] not in orders.adapters:
            self.refuse(404, "unknown_adapter")
            return None
        if body.get("version") and orders.versions and body["version"] not in orders.versions:
            self.refuse(404, "unknown_version")
            return None
        problem = await self._attach_segments(body)
        if problem is not None:
            self.refuse(409, problem)
            return None
        words = body["prompt"].split()
        resume_from = body.get("resume_from") or 0
        if not 0 <= resume_from < body["max_tokens"] or not words:
            self.refuse(400, "invalid_range")
            return None
        remote, local = self.engine.segments.covered_tokens(body["request_id"])
        return EngineRequest(
            body["request_id"],
            body["attempt"],
            len(words),
            body["max_tokens"],
            body.get("priority") or 0,
            resume_from,
            remote,
            local,
            hash_prefixes(words),
        )

    async def _attach_segments(self, body: dict[str, object]) -> str | None:
        """Check the remote segments that a completion names, and import missing ones."""
        held = self.engine.segments.imported.get(body["request_id"], [])
        known = {segment.handle: segment.source for segment in held}
        for item in body.get("kv_segments") or []:
            handle = item if isinstance(item, str) else item.get("handle", "")
            source = known.get(handle, "" if isinstance(item, str) else item.get("source", ""))
            if source == self.engine.options.base_url:
                continue
            if not source:
                return "unknown_segment"
            segment = await fetch_segment(source, handle)
            if segment is None:
                return "segment_lost"
            self.engine.segments.add_imported(body["request_id"], segment)
        return None

    async def _watch_segments(self, request_id: str) -> None:
        """End a completion whose remote memory is gone: its attention can no longer read it."""
        while self.engine.segments.imported.get(request_id):
            for segment in list(self.engine.segments.imported[request_id]):
                if await fetch_segment(segment.source, segment.handle) is None:
                    self.engine.cancel(request_id, "segment_lost")
                    return
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _stream(
        self, request: EngineRequest, events: asyncio.Queue, prompt_hash: str
    ) -> None:
        while True:
            batch = [await events.get()]
            while not events.empty():
                batch.append(events.get_nowait())
            for event in batch:
                if isinstance(event, RequestAborted):
                    self.write(f"event: error\ndata: {json.dumps({'reason': event.reason})}\n\n")
                    await self.finish()
                    return
                self._write_token(event, prompt_hash)
            await self.flush()
            if self._takes_break(batch[-1].index + 1 - request.resume_from):
                self.request.connection.stream.close()
                raise StreamClosedError
            if batch[-1].is_last:
                self.engine.segments.forget(request.request_id)
                await self.finish("data: [DONE]\n\n")
                return

    def _takes_break(self, sent_tokens: int) -> bool:
        """Use up one ordered break if enough tokens of this stream were sent."""
        if self.engine.streams_to_break == 0 or sent_tokens < self.engine.break_after_tokens:
            return False
        self.engine.streams_to_break -= 1
        return True

    def _write_token(self, event: TokenEvent, prompt_hash: str) -> None:
        token = {
            "request_id": event.request_id,
            "attempt": event.attempt,
            "index": event.index,
            "text": token_text(prompt_hash, event.index),
            "finish_reason": "length" if event.is_last else None,
        }
        self.write(f"data: {json.dumps(token)}\n\n")

    async def _drain(self, events: asyncio.Queue) -> None:
        """Follow a request without a reader until it ends, so that leaving waits for it."""
        while True:
            event = await events.get()
            if isinstance(event, RequestAborted) or event.is_last:
                return


class CancelHandler(EngineHandler):
    """``POST /v1/cancel``: ends a request and frees its memory; safe to repeat."""

    def post(self) -> None:
        """Cancel a request."""
        body = self.read_body(request_id=str)
        self.finish({"cancelled": self.engine.cancel(body["request_id"])})
