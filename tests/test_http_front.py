"""Tests of the HTTP interface for callers, without sockets."""

import hashlib
import json
import unittest

import anyio

from endivegw.configuration import AccountParameters, Snapshot
from endivegw.daemons.http_answers import TruncatedAnswer
from endivegw.daemons.http_front import HttpFrontend
from endivegw.daemons.routed import Answered
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused, Unknown
from endivegw.settings import HttpLimits
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, ConfigRevision, Usage

KEY = "sk-lobby"
LIMITS = HttpLimits(
    max_body_bytes=2000,
    max_header_bytes=8000,
    default_deadline_s=10.0,
    max_deadline_s=60.0,
)
ACCOUNT = AccountParameters(
    client_account=ClientAccountName("lobby"),
    key_hashes=(hashlib.sha256(KEY.encode()).hexdigest(),),
    models=("badge-1", "badge-1+quito"),
    services=("lobby-app",),
    repeatable_paths=("lobby-app/status",),
)
SNAPSHOT = Snapshot(ConfigRevision(1), {ACCOUNT.client_account: ACCOUNT})
CHUNKS = (
    b'{"id":"a","choices":[{"delta":{"content":"wel"}}]}\n{"id":"a",',
    b'"choices":[{"delta":{"content":"come"},"finish_reason":"stop"}]}\n',
)


class FakeRunner:
    """Return fixed answer data and a fixed end, and record the requests."""

    def __init__(self, end, answer_data=CHUNKS, wait=False):
        self.end = end
        self.answer_data = answer_data
        self.wait = wait
        self.requests = []
        self.cancelled = False

    async def run(self, request, sink):
        self.requests.append(request)
        if isinstance(self.end, Exception):
            raise self.end
        try:
            if self.wait:
                await anyio.sleep_forever()
        finally:
            self.cancelled = self.wait
        if not isinstance(self.end, Refused):
            await sink.head(200, (("content-type", "text/plain"),))
            for chunk in self.answer_data:
                await sink.data(chunk)
        return self.end


class Reply:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False

    async def send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            self.body += message["body"]
            self.ended = not message["more_body"]

    @property
    def code(self):
        return json.loads(self.body)["error"]["code"]


def call(
    runner,
    path,
    body=b"",
    *,
    method="POST",
    ready=True,
    healthy=True,
    disconnects=False,
    chunks=None,
    **headers,
):
    """Send one request and return the reply."""
    front = HttpFrontend(
        runner,
        lambda: SNAPSHOT,
        lambda: ready,
        lambda: healthy,
        LIMITS,
        lambda: 100.0,
        EventLog("router"),
    )
    fields = {"authorization": f"Bearer {KEY}", **headers}
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [
            (k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()
        ],
    }
    messages = [
        {"type": "http.request", "body": chunk, "more_body": True}
        for chunk in (chunks or [body])
    ]
    messages[-1]["more_body"] = False
    if disconnects:
        messages.append({"type": "http.disconnect"})

    async def receive():
        if messages:
            return messages.pop(0)
        await anyio.sleep_forever()

    reply = Reply()
    anyio.run(front, scope, receive, reply.send)
    return reply


def chat(**more):
    document = {"model": "badge-1", "messages": [{"role": "user", "content": "hi"}]}
    return json.dumps({**document, **more}).encode()


ANSWERED = Answered(Usage(3, 2))


class CompletionTests(unittest.TestCase):
    def test_answer_as_one_object(self):
        """A caller that does not stream receives all chunks joined, with usage."""
        reply = call(FakeRunner(ANSWERED), "/v1/chat/completions", chat())
        document = json.loads(reply.body)
        self.assertEqual(reply.status, 200)
        self.assertEqual(document["choices"][0]["message"]["content"], "welcome")
        self.assertEqual(document["choices"][0]["finish_reason"], "stop")
        self.assertEqual(document["usage"]["total_tokens"], 5)
        self.assertEqual(reply.headers["endivegw-outcome"], "answered")

    def test_stream_ends_with_the_done_event(self):
        """A complete stream has one event per chunk and ends with [DONE]."""
        body = chat(stream=True, stream_options={"include_usage": True})
        reply = call(FakeRunner(ANSWERED), "/v1/chat/completions", body)
        events = reply.body.decode().split("\n\n")
        self.assertEqual(len(events), 5)
        self.assertEqual(events[3], "data: [DONE]")
        usage = json.loads(events[2].removeprefix("data: "))
        self.assertEqual(usage["usage"]["completion_tokens"], 2)

    def test_broken_stream_does_not_look_complete(self):
        """A target dies during a stream, after its first output. The caller must
        receive an error event and no [DONE]."""
        end = Unknown(Reason.ANSWER_LOST, "the target is gone")
        reply = call(FakeRunner(end), "/v1/chat/completions", chat(stream=True))
        self.assertIn(b"event: error", reply.body)
        self.assertIn(b'"outcome": "unknown"', reply.body)
        self.assertNotIn(b"[DONE]", reply.body)
        self.assertIs(reply.ended, True)

    def test_lost_answer_is_reported_as_unknown(self):
        """A target dies after it was sent the request, before its first output. The
        caller must be told that the request may have run."""
        end = Unknown(Reason.ANSWER_LOST)
        reply = call(FakeRunner(end), "/v1/chat/completions", chat())
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertEqual(reply.headers["x-should-retry"], "false")

    def test_lost_answer_with_key_recommends_a_retry(self):
        """A target dies before its first output, and the request has a key. A retry
        joins the attempt or replays its answer, so the reply must recommend one and
        state the delay."""
        end = Unknown(Reason.ANSWER_LOST)
        runner = FakeRunner(end)
        reply = call(runner, "/v1/chat/completions", chat(), idempotency_key="k")
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertEqual(reply.headers["x-should-retry"], "true")
        self.assertEqual(reply.headers["retry-after"], "1")

    def test_broken_invariant_is_reported_as_unknown(self):
        """An internal check fails while a request runs. The caller must receive the
        usual error object, with the outcome unknown, and not a generic server error."""
        runner = FakeRunner(InvariantError("billed twice"))
        reply = call(runner, "/v1/chat/completions", chat())
        self.assertEqual((reply.status, reply.code), (502, "target_failed"))
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertNotIn(b"billed", reply.body)

    def test_refusals_report_not_run_and_retry_delay(self):
        """An exhausted budget is final; an overload has a retry delay."""
        spent = Refused(Reason.BUDGET_EXHAUSTED, "the budget is spent")
        reply = call(FakeRunner(spent), "/v1/chat/completions", chat())
        self.assertEqual((reply.status, reply.code), (429, "insufficient_quota"))
        self.assertEqual(reply.headers["x-should-retry"], "false")
        self.assertEqual(reply.headers["endivegw-outcome"], "not-run")
        busy = Refused(Reason.OVERLOADED, "busy", retry_after_s=2.2)
        reply = call(FakeRunner(busy), "/v1/chat/completions", chat())
        self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "3"))
        self.assertEqual(reply.headers["x-should-retry"], "true")

    def test_bad_input_is_refused_before_anything_runs(self):
        """Each malformed request gets the matching error and reaches no target."""
        runner = FakeRunner(ANSWERED)
        cases = {
            b"{": "bad_request",
            b"[]": "bad_request",
            chat(n=2): "bad_request",
            chat(max_tokens=-1): "bad_request",
            chat(messages=[]): "bad_request",
            chat(messages=[{"role": "user", "content": 3}]): "bad_request",
            chat(stream="yes"): "bad_request",
            chat(messages=[{"role": "me", "content": "hi"}]): "bad_request",
            chat(model="other"): "model_not_found",
            chat(pad="x" * 3000): "body_too_large",
        }
        for body, code in cases.items():
            with self.subTest(body=body[:40]):
                reply = call(runner, "/v1/chat/completions", body)
                self.assertEqual(reply.code, code)
                self.assertEqual(reply.headers["endivegw-outcome"], "not-run")
        self.assertEqual(runner.requests, [])

    def test_bad_headers_are_refused(self):
        """A wrong key, deadline, budget or flag gets the matching error."""
        runner = FakeRunner(ANSWERED)
        path = "/v1/chat/completions"
        for headers, code in (
            ({"authorization": "Bearer wrong"}, "invalid_api_key"),
            ({"authorization": "Basic abc"}, "invalid_api_key"),
            ({"endivegw_deadline_s": "soon"}, "bad_request"),
            ({"endivegw_deadline_s": "nan"}, "bad_request"),
            ({"endivegw_deadline_s": "99999"}, "bad_request"),
            ({"endivegw_budget": "other"}, "budget_not_found"),
            ({"endivegw_repeatable": "maybe"}, "bad_request"),
            ({"idempotency_key": "k" * 300}, "bad_request"),
            ({"endivegw_repeatable": "no"}, "idempotency_key_required"),
        ):
            with self.subTest(headers=headers):
                self.assertEqual(call(runner, path, chat(), **headers).code, code)
        self.assertEqual(runner.requests, [])

    def test_disconnect_cancels_the_request(self):
        """The request of a caller that disconnects is cancelled and ends."""
        runner = FakeRunner(ANSWERED, wait=True)
        call(runner, "/v1/chat/completions", chat(), disconnects=True)
        self.assertIs(runner.cancelled, True)

    def test_prompt_bound_covers_all_text_that_the_engine_reads(self):
        """Names, tool calls and tools are prompt tokens as well. A bound without them
        would let an account consume more tokens than were reserved."""
        runner = FakeRunner(ANSWERED)
        calls = [{"id": "c", "function": {"name": "gate", "arguments": "x" * 50}}]
        messages = [
            {"role": "user", "content": "hi", "name": "ana"},
            {"role": "assistant", "content": None, "tool_calls": calls},
        ]
        body = chat(messages=messages, tools=[{"name": "y" * 40}])
        call(runner, "/v1/chat/completions", body)
        read = "".join(runner.requests[0].call.texts)
        for part in ("hi", "ana", "x" * 50, "y" * 40):
            self.assertIn(part, read)
        self.assertEqual(runner.requests[0].call.prefix_text, "hi ")

    def test_models_are_those_of_the_account(self):
        """The model list contains the models that the client account may use."""
        reply = call(FakeRunner(ANSWERED), "/v1/models", method="GET")
        names = [model["id"] for model in json.loads(reply.body)["data"]]
        self.assertEqual(names, ["badge-1", "badge-1+quito"])
        one = call(FakeRunner(ANSWERED), "/v1/models/other", method="GET")
        self.assertEqual(one.code, "model_not_found")


class ServiceTests(unittest.TestCase):
    def test_answer_passes_through(self):
        """A plain service's status and body are forwarded to the caller, and the
        caller's authorization is not forwarded to the service."""
        runner = FakeRunner(ANSWERED, answer_data=(b"ok",))
        reply = call(runner, "/services/lobby-app/status/7", method="GET")
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        self.assertEqual(runner.requests[0].call.path, "/status/7")
        self.assertIs(runner.requests[0].repeatable, True)
        names = [name for name, _ in runner.requests[0].call.fields]
        self.assertNotIn("authorization", names)

    def test_call_outside_the_repeatable_paths_needs_a_key(self):
        """A call that may not be repeated is refused if it has no key."""
        runner = FakeRunner(ANSWERED)
        reply = call(runner, "/services/lobby-app/notices", b"x")
        self.assertEqual(reply.code, "idempotency_key_required")
        reply = call(runner, "/services/lobby-app/notices", b"x", idempotency_key="k")
        self.assertEqual(reply.status, 200)
        self.assertIs(runner.requests[0].repeatable, False)

    def test_only_paths_below_a_prefix_are_repeatable(self):
        """A prefix matches whole path segments: a longer segment is another call, and
        a path that leaves the prefix by '..' is refused. Otherwise a call that may not
        be repeated could run twice."""
        runner = FakeRunner(ANSWERED, answer_data=(b"ok",))
        base = "/services/lobby-app/"
        for path, code in (
            ("statusboard", "idempotency_key_required"),
            ("status/../notices", "bad_request"),
            ("status/./7", "bad_request"),
            ("status/..\\notices", "bad_request"),
        ):
            with self.subTest(path=path):
                self.assertEqual(call(runner, base + path, b"x").code, code)
        self.assertEqual(runner.requests, [])
        self.assertEqual(call(runner, base + "status", b"x").status, 200)
        self.assertIs(runner.requests[0].repeatable, True)

    def test_truncated_answer_closes_the_connection(self):
        """A service dies during its answer. The connection must be closed, so that
        the caller does not treat the truncated answer as complete."""
        runner = FakeRunner(Unknown(Reason.ANSWER_LOST), answer_data=(b"half",))
        with self.assertRaises(BaseExceptionGroup) as caught:
            call(runner, "/services/lobby-app/status", method="GET")
        self.assertIsNotNone(caught.exception.subgroup(TruncatedAnswer))

    def test_long_body_is_streamed_and_refused_with_a_key(self):
        """A body over the buffer limit is streamed once. With a key it is refused,
        because a retry could not be distinguished from another request."""
        chunk = b"x" * 200_000
        runner = FakeRunner(ANSWERED, answer_data=(b"ok",))
        path = "/services/lobby-app/status"
        reply = call(runner, path, chunks=[chunk, chunk])
        self.assertEqual(reply.status, 200)
        self.assertIsNotNone(runner.requests[0].call.rest)
        reply = call(runner, path, chunks=[chunk, chunk], idempotency_key="k")
        self.assertEqual(reply.code, "body_too_large")


class HealthTests(unittest.TestCase):
    def test_readiness_fails_while_draining(self):
        """A draining router is live but not ready, and refuses requests as not run."""
        runner = FakeRunner(ANSWERED)
        self.assertEqual(call(runner, "/healthz", ready=False).status, 200)
        self.assertEqual(call(runner, "/readyz", ready=False).status, 503)
        reply = call(runner, "/v1/chat/completions", chat(), ready=False)
        self.assertEqual(reply.headers["endivegw-outcome"], "not-run")
        self.assertEqual(reply.headers["retry-after"], "1")

    def test_isolated_router_fails_its_readiness_check(self):
        """Most targets of a router become unresponsive at once. Its readiness check
        must fail, so that callers are sent to another router; requests that it still
        receives are served."""
        runner = FakeRunner(ANSWERED)
        self.assertEqual(call(runner, "/readyz", healthy=False).status, 503)
        reply = call(runner, "/v1/chat/completions", chat(), healthy=False)
        self.assertEqual(reply.status, 200)


class RetryRefusalTests(unittest.TestCase):
    """Refusals of a retry before its idempotency key is looked up.

    A router dies while it runs a request, and the caller retries under its key at
    another router. That router has no configuration yet, is shutting down, or no
    longer knows the caller's API key, and refuses without looking up the key. If it
    reported "not run", the caller would send the request under another key, and the
    request would run twice.
    """

    def test_refusal_by_an_unready_router_is_unknown_with_a_key(self):
        """The refusal reports the outcome as unknown, with a retry delay."""
        reply = call(
            FakeRunner(ANSWERED),
            "/v1/chat/completions",
            chat(),
            ready=False,
            idempotency_key="badge-7",
            endivegw_repeatable="no",
        )
        self.assertEqual((reply.status, reply.code), (503, "not_ready"))
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertEqual(json.loads(reply.body)["error"]["outcome"], "unknown")
        self.assertEqual(reply.headers["x-should-retry"], "true")
        self.assertEqual(reply.headers["retry-after"], "1")

    def test_refusals_before_the_key_is_looked_up_are_unknown(self):
        """The API key, model or service may have existed at the first try."""
        generation = "/v1/chat/completions"
        notices = "/services/lobby-app/notices"
        chunk = b"x" * 200_000
        for path, chunks, headers, code in (
            (generation, [chat()], {"authorization": "Bearer x"}, "invalid_api_key"),
            (generation, [chat()], {"endivegw_budget": "other"}, "budget_not_found"),
            (generation, [chat(model="other")], {}, "model_not_found"),
            (generation, [b"{"], {}, "bad_request"),
            (generation, [chat(pad="x" * 3000)], {}, "body_too_large"),
            ("/services/other/notices", [b"x"], {}, "service_not_found"),
            ("/services/lobby-app/../x", [b"x"], {}, "bad_request"),
            (notices, [chunk, chunk], {}, "body_too_large"),
        ):
            with self.subTest(code=code, path=path):
                runner = FakeRunner(ANSWERED)
                reply = call(
                    runner, path, chunks=chunks, idempotency_key="badge-7", **headers
                )
                self.assertEqual(reply.code, code)
                self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
                self.assertEqual(reply.headers["x-should-retry"], "false")
                self.assertEqual(runner.requests, [])
