"""Tests of the target adapters against stand-ins over sockets."""

import json
import unittest
from contextlib import aclosing

import anyio

from endivegw.results import Done, Reason
from endivegw.targets import (
    EngineEnded,
    EngineFailed,
    EngineOrder,
    EngineRequest,
    EngineText,
    HttpService,
    OpenAiEngine,
    OrderKind,
    ServiceAnswerHead,
    ServiceRequest,
)
from endivegw.types import AttemptId, Priority, Usage
from endivegw_standins.engine_app import (
    EngineApp,
    EngineOptions,
    FakeEngine,
    answer_text,
)
from endivegw_standins.service_app import ServiceApp, ServiceOptions
from endivegw_standins.serving import served


def generation(attempt, prompt="hello host", bound=100, **changes):
    body = {"model": "x", "messages": [{"role": "user", "content": prompt}]}
    values = {
        "attempt_id": AttemptId(attempt),
        "body": json.dumps(body).encode(),
        "chat": True,
        "model": "badge-1",
        "adapter": "",
        "max_completion_tokens": bound,
        "priority": Priority.NORMAL,
        "deadline_s": 10.0,
    }
    return EngineRequest(**{**values, **changes})


def text_of(events):
    text = ""
    for event in events:
        if isinstance(event, EngineText):
            choice = json.loads(event.data)["choices"][0]
            text += choice["delta"].get("content", "")
    return text


async def collect(iterator):
    return [event async for event in iterator]


class EngineAdapterTests(unittest.TestCase):
    def with_engine(self, scenario, **options):
        engine = FakeEngine(options=EngineOptions(**options))

        async def main():
            async with served(EngineApp(engine)) as url:
                adapter = OpenAiEngine(url)
                try:
                    with anyio.fail_after(20):
                        await scenario(adapter, engine)
                finally:
                    await adapter.aclose()

        anyio.run(main)

    def test_answer_is_complete_and_counted(self):
        """The text, the usage and the engine's own count are consistent."""

        async def scenario(adapter, engine):
            events = await collect(adapter.generate(generation("a1", "hello len=9")))
            self.assertEqual(text_of(events), answer_text("hello len=9", 100))
            self.assertEqual(events[-1], EngineEnded(Usage(2, 9), "stop"))
            self.assertEqual(engine.consumed["a1"].completion_tokens, 9)
            self.assertEqual(engine.consumed["a1"].starts, 1)

        self.with_engine(scenario)

    def test_answer_stops_at_the_token_limit(self):
        """The engine never generates more tokens than the reservation covers."""

        async def scenario(adapter, engine):
            request = generation("a1", "hi len=50", bound=5)
            events = await collect(adapter.generate(request))
            self.assertEqual(events[-1], EngineEnded(Usage(2, 5), "length"))
            self.assertEqual(engine.consumed["a1"].completion_tokens, 5)

        self.with_engine(scenario)

    def test_closing_the_stream_cancels(self):
        """A caller disconnects in the middle of an answer. Without a cancellation the
        engine would continue and consume tokens of the budget for nothing.
        """

        async def scenario(adapter, engine):
            request = generation("a1", "hi len=2000", bound=2000)
            async with aclosing(adapter.generate(request)) as events:
                await anext(events)
            await anyio.sleep(0.1)
            self.assertIs(engine.consumed["a1"].cancelled, True)
            self.assertLess(engine.consumed["a1"].completion_tokens, 200)

        self.with_engine(scenario)

    def test_broken_stream_resumes_without_a_second_start(self):
        """The connection to an engine breaks in the middle of an answer. Without a
        resumption the caller would get a truncated answer, or pay for it twice.
        """

        async def scenario(adapter, engine):
            request = generation("a1", "hi len=20")
            first = await collect(adapter.generate(request))
            broken = first.pop()
            self.assertIsInstance(broken, EngineFailed)
            self.assertIs(broken.started, True)
            self.assertIs(broken.usage_final, False)
            rest = await collect(adapter.resume(request, len(first)))
            self.assertIsInstance(rest[-1], EngineEnded)
            self.assertEqual(text_of(first + rest), answer_text("hi len=20", 100))
            self.assertEqual(engine.consumed["a1"].starts, 1)

        self.with_engine(scenario, break_after_pieces=7)

    def test_refusal_proves_that_nothing_ran(self):
        """An engine without capacity refuses at once; another may get the request."""

        async def scenario(adapter, engine):
            (event,) = await collect(adapter.generate(generation("a1")))
            self.assertIs(event.started, False)
            self.assertIs(event.usage_final, True)
            self.assertEqual(event.reason, Reason.OVERLOADED)
            self.assertEqual(engine.total_tokens(), 0)

        self.with_engine(scenario, fail_fast=True)

    def test_urgent_requests_overtake_batch_requests(self):
        """With the only slot in use, an urgent request overtakes a queued batch one."""
        order = []

        async def generate(adapter, name, priority):
            request = generation(name, f"{name} len=5", priority=priority)
            await collect(adapter.generate(request))
            order.append(name)

        async def scenario(adapter, engine):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generate, adapter, "first", Priority.NORMAL)
                await anyio.sleep(0.02)
                tasks.start_soon(generate, adapter, "batch", Priority.BATCH)
                await anyio.sleep(0.02)
                tasks.start_soon(generate, adapter, "urgent", Priority.URGENT)
            self.assertEqual(order, ["first", "urgent", "batch"])

        self.with_engine(scenario, slots=1, decode_tokens_per_s=40.0)

    def test_outdated_order_is_refused(self):
        """An old order reaches the engine after a newer one. If accepted, it would undo
        a change that operators have made since.
        """

        async def scenario(adapter, engine):
            newer = EngineOrder(OrderKind.LOAD_MODEL, "badge-2", "7", 5)
            older = EngineOrder(OrderKind.UNLOAD_MODEL, "badge-2", "7", 4)
            self.assertEqual(await adapter.order(newer), Done(None))
            refused = await adapter.order(older)
            self.assertEqual(refused.reason, Reason.STALE_FENCE)
            state = await adapter.state()
            self.assertIn("badge-2@7", state.value)

        self.with_engine(scenario)

    def test_load_report_and_cache_events_arrive_late(self):
        """Load reports state their age, and cache events are delivered with a delay."""

        async def scenario(adapter, engine):
            prompt = " ".join(["word"] * 64)
            await collect(adapter.generate(generation("a1", prompt)))
            early = await adapter.load()
            self.assertEqual(early.value.cache_changes, ())
            self.assertGreater(early.value.age_s, 0.1)
            await anyio.sleep(0.4)
            late = await adapter.load()
            self.assertEqual(len(late.value.cache_changes), 4)
            self.assertEqual((await adapter.load()).value.cache_changes, ())

        self.with_engine(scenario, cache_event_loss=0.0)

    def test_absent_engine_was_never_started(self):
        """The engine's process has terminated. A refused connection proves that the
        request did not run, so it may be sent to another target.
        """

        async def main():
            adapter = OpenAiEngine("http://127.0.0.1:9")
            (event,) = await collect(adapter.generate(generation("a1")))
            self.assertIs(event.started, False)
            self.assertEqual(event.reason, Reason.UNREACHABLE)

        anyio.run(main)


class ServiceAdapterTests(unittest.TestCase):
    def call(self, app, request, chunks):
        async def body():
            for chunk in chunks:
                yield chunk

        async def main():
            async with served(app, lifespan=False) as url:
                adapter = HttpService(url)
                try:
                    return await collect(adapter.call(request, body()))
                finally:
                    await adapter.aclose()

        return anyio.run(main)

    def test_body_is_forwarded_and_hop_by_hop_fields_are_dropped(self):
        """Bodies are forwarded completely both ways; hop-by-hop fields are not."""
        app = ServiceApp()
        fields = (("Idempotency-Key", "k1"), ("Connection", "x-hop"), ("x-hop", "1"))
        request = ServiceRequest(AttemptId("a1"), "PUT", "/stands/7", fields)
        events = self.call(app, request, [b"one ", b"two"])
        head = events[0]
        self.assertIsInstance(head, ServiceAnswerHead)
        self.assertEqual(head.status, 200)
        names = {name.lower() for name, _ in head.fields}
        self.assertNotIn("connection", names)
        self.assertNotIn("transfer-encoding", names)
        self.assertIn(("x-path", "/stands/7"), head.fields)
        self.assertEqual(b"".join(events[1:]), b"one two")
        self.assertEqual(app.calls_by_key["k1"], 1)
        self.assertEqual(app.calls_by_attempt["a1"], 1)

    def test_truncated_answer_is_a_failure(self):
        """The service terminates in the middle of its answer. Without a failure at the
        end the caller would take the partial answer for a complete one.
        """
        app = ServiceApp(ServiceOptions(break_after_bytes=4))
        request = ServiceRequest(AttemptId("a1"), "POST", "/")
        events = self.call(app, request, [b"abcd", b"efgh"])
        self.assertIsInstance(events[-1], EngineFailed)
        self.assertIs(events[-1].started, True)
