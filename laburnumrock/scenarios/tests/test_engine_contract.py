"""Tests of the engine calls of the gateway against the model engine emulator."""

import asyncio
import json

from laburnumrock.daemon._engine_calls import EngineCalls
from laburnumrock.gateway._assembler import CompletionAssembler
from laburnumrock.gateway._bodies import AnnouncementBody, parse_body
from laburnumrock.gateway._engine import CompletionRequest, cancel_on_engine, stream_completion
from laburnumrock.gateway._spanning import prepare_segments, release_segments
from laburnumrock.placement import PermitGrant, Placement
from laburnumrock.standins import hash_prompt, token_text
from laburnumrock.standins.tests._servers import start_engine


def make_grant(engines, token_counts):
    placements, first = [], 0
    for engine, tokens in zip(engines, token_counts, strict=True):
        url = engine.options.base_url
        placements.append(Placement(engine.options.upstream_id, url, tokens, first))
        first += tokens
    return PermitGrant("p", "r", 1, 1, placements, 2.0)


async def run_attempt(engine, request, assembler, attempt, texts):
    async def collect(text):
        texts.append(text)

    assembler.start_attempt(attempt)
    return await stream_completion(engine.options.base_url, request, assembler, collect, 1.0)


class TestEngineContract:
    def test_spanning_prompt_of_a_million_tokens(self):
        """Guards against a gateway and an engine that split a spanning prompt differently."""

        async def scenario():
            engines = [await start_engine(time_factor=200.0) for _ in range(3)]
            prompt = "w " * 1_000_000
            request = CompletionRequest("r", "quote", prompt, 12)
            grant = make_grant(engines, [400_000, 400_000, 200_012])
            prepared = await prepare_segments(grant, request)
            assert prepared.is_ok(), prepared
            texts = []
            done = await run_attempt(
                engines[2], prepared.unwrap(), CompletionAssembler("r"), 1, texts
            )
            assert done.is_ok(), done
            digest = hash_prompt(prompt)
            assert texts == [token_text(digest, index) for index in range(12)]
            await release_segments(grant)
            assert [engine.model.memory.used_tokens for engine in engines] == [0, 0, 0]
            await asyncio.gather(*(engine.stop() for engine in engines))

        asyncio.run(scenario())

    def test_resume_on_another_engine_after_a_broken_stream(self):
        """Guards against missing or repeated tokens when a stream resumes on another engine."""

        async def scenario():
            engines = [await start_engine(time_factor=1.0) for _ in range(2)]
            engines[0].streams_to_break, engines[0].break_after_tokens = 1, 10
            request = CompletionRequest("r", "quote", "a b c", 60)
            assembler, texts = CompletionAssembler("r"), []
            broken = await run_attempt(engines[0], request, assembler, 1, texts)
            assert broken.is_err()
            assert 1 <= len(texts) < 60
            held = await EngineCalls(2.0).read_held_tokens(engines[0].options.base_url)
            assert held.unwrap() == {"r": 63}
            assert await cancel_on_engine(engines[0].options.base_url, "r")
            assert engines[0].model.memory.used_tokens == 0
            done = await run_attempt(engines[1], request, assembler, 2, texts)
            assert done.is_ok(), done
            assert texts == [token_text(hash_prompt("a b c"), index) for index in range(60)]
            await asyncio.gather(*(engine.stop() for engine in engines))

        asyncio.run(scenario())

    def test_announcement_is_valid(self):
        """Guards against emulator announcements that an entry instance refuses as invalid."""

        async def scenario():
            engine = await start_engine()
            body = engine.build_announcement()
            await engine.stop()
            return body

        parsed = parse_body(AnnouncementBody, json.dumps(asyncio.run(scenario())).encode())
        assert parsed.unwrap().to_announcement().kv_capacity_tokens == 450_000
