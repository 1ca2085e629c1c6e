"""What callers see at the HTTP interface, driven without sockets."""

import hashlib
import json
import unittest

import anyio

from endivegw.configuration import AccountParameters, Snapshot
from endivegw.daemons.http_answers import CutAnswer
from endivegw.daemons.http_front import HttpFront
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
    """Answer with fixed pieces and an end, and keep the requests."""

    def __init__(self, end, pieces=CHUNKS, wait=False):
        self.end = end
        self.pieces = pieces
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
            for piece in self.pieces:
                await sink.data(piece)
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
    gone=False,
    chunks=None,
    **headers,
):
    """Return the reply to one request."""
    front = HttpFront(
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
    if gone:
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
        """A caller that does not stream gets all pieces joined, with usage."""
        reply = call(FakeRunner(ANSWERED), "/v1/chat/completions", chat())
        document = json.loads(reply.body)
        self.assertEqual(reply.status, 200)
        self.assertEqual(document["choices"][0]["message"]["content"], "welcome")
        self.assertEqual(document["choices"][0]["finish_reason"], "stop")
        self.assertEqual(document["usage"]["total_tokens"], 5)
        self.assertEqual(reply.headers["endivegw-outcome"], "answered")

    def test_stream_ends_with_the_done_event(self):
        """A whole stream has each chunk as one event and ends in [DONE]."""
        body = chat(stream=True, stream_options={"include_usage": True})
        reply = call(FakeRunner(ANSWERED), "/v1/chat/completions", body)
        events = reply.body.decode().split("\n\n")
        self.assertEqual(len(events), 5)
        self.assertEqual(events[3], "data: [DONE]")
        usage = json.loads(events[2].removeprefix("data: "))
        self.assertEqual(usage["usage"]["completion_tokens"], 2)

    def test_broken_stream_never_looks_whole(self):
        """A target dies in the middle of a stream, after its first words.
        The caller sees an error event that says so, and no [DONE]."""
        end = Unknown(Reason.ANSWER_LOST, "the target is gone")
        reply = call(FakeRunner(end), "/v1/chat/completions", chat(stream=True))
        self.assertIn(b"event: error", reply.body)
        self.assertIn(b'"outcome": "unknown"', reply.body)
        self.assertNotIn(b"[DONE]", reply.body)
        self.assertIs(reply.ended, True)

    def test_uncertain_end_is_told_as_unknown(self):
        """A target dies after the hand-over, before its first word.
        The caller hears that the request may have run."""
        end = Unknown(Reason.ANSWER_LOST)
        reply = call(FakeRunner(end), "/v1/chat/completions", chat())
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertEqual(reply.headers["x-should-retry"], "false")

    def test_uncertain_end_under_a_key_invites_a_retry(self):
        """The same under a key: sending it again joins or replays, so that the
        caller is told to, and when."""
        end = Unknown(Reason.ANSWER_LOST)
        runner = FakeRunner(end)
        reply = call(runner, "/v1/chat/completions", chat(), idempotency_key="k")
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertEqual(reply.headers["x-should-retry"], "true")
        self.assertEqual(reply.headers["retry-after"], "1")

    def test_broken_invariant_is_told_as_unknown(self):
        """A check inside the program stops a request half-way. The caller hears
        in the usual shape that it may have run, not a bare server error."""
        runner = FakeRunner(InvariantError("billed twice"))
        reply = call(runner, "/v1/chat/completions", chat())
        self.assertEqual((reply.status, reply.code), (502, "target_failed"))
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
        self.assertNotIn(b"billed", reply.body)

    def test_refusals_say_not_run_and_when_to_retry(self):
        """Exhausted budgets are final; overload says when to come back."""
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
        """Each malformed request gets a clear error and reaches no target."""
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
        """A wrong key, deadline, budget or flag is named in the error."""
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

    def test_caller_that_goes_away_cancels_its_request(self):
        """The request of a caller that hangs up is cancelled and ends."""
        runner = FakeRunner(ANSWERED, wait=True)
        call(runner, "/v1/chat/completions", chat(), gone=True)
        self.assertIs(runner.cancelled, True)

    def test_all_that_the_engine_reads_counts_towards_the_bound(self):
        """Names, tool calls and tools are prompt tokens, too: a bound without
        them would let an account consume more than was reserved."""
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
        """The list of models names what this client account may use."""
        reply = call(FakeRunner(ANSWERED), "/v1/models", method="GET")
        names = [model["id"] for model in json.loads(reply.body)["data"]]
        self.assertEqual(names, ["badge-1", "badge-1+quito"])
        one = call(FakeRunner(ANSWERED), "/v1/models/other", method="GET")
        self.assertEqual(one.code, "model_not_found")


class ServiceTests(unittest.TestCase):
    def test_answer_passes_through(self):
        """A plain service's status, fields and body reach the caller."""
        runner = FakeRunner(ANSWERED, pieces=(b"ok",))
        reply = call(runner, "/services/lobby-app/status/7", method="GET")
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        self.assertEqual(runner.requests[0].call.path, "/status/7")
        self.assertIs(runner.requests[0].repeatable, True)
        names = [name for name, _ in runner.requests[0].call.fields]
        self.assertNotIn("authorization", names)

    def test_call_outside_the_repeatable_paths_needs_a_key(self):
        """A call that may not be repeated is refused without a key, as not run."""
        runner = FakeRunner(ANSWERED)
        reply = call(runner, "/services/lobby-app/notices", b"x")
        self.assertEqual(reply.code, "idempotency_key_required")
        reply = call(runner, "/services/lobby-app/notices", b"x", idempotency_key="k")
        self.assertEqual(reply.status, 200)
        self.assertIs(runner.requests[0].repeatable, False)

    def test_only_what_lies_below_a_prefix_is_repeatable(self):
        """A prefix ends at a slash: a longer name is another call, and a path
        that climbs out of the prefix is refused. Either would let a notice
        that may not be repeated run twice."""
        runner = FakeRunner(ANSWERED, pieces=(b"ok",))
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

    def test_cut_answer_closes_the_connection(self):
        """A service dies in the middle of its answer.
        The connection is cut, so that nobody takes the piece for the whole."""
        runner = FakeRunner(Unknown(Reason.ANSWER_LOST), pieces=(b"half",))
        with self.assertRaises(BaseExceptionGroup) as caught:
            call(runner, "/services/lobby-app/status", method="GET")
        self.assertIsNotNone(caught.exception.subgroup(CutAnswer))

    def test_long_body_flows_through_and_a_keyed_one_is_refused(self):
        """A body over the held size is passed on in pieces, once; with a key
        it is refused, because a retry could not be told from another request."""
        piece = b"x" * 200_000
        runner = FakeRunner(ANSWERED, pieces=(b"ok",))
        path = "/services/lobby-app/status"
        reply = call(runner, path, chunks=[piece, piece])
        self.assertEqual(reply.status, 200)
        self.assertIsNotNone(runner.requests[0].call.rest)
        reply = call(runner, path, chunks=[piece, piece], idempotency_key="k")
        self.assertEqual(reply.code, "body_too_large")


class HealthTests(unittest.TestCase):
    def test_readiness_fails_while_draining(self):
        """A draining router is live, not ready, and refuses work as not run."""
        runner = FakeRunner(ANSWERED)
        self.assertEqual(call(runner, "/healthz", ready=False).status, 200)
        self.assertEqual(call(runner, "/readyz", ready=False).status, 503)
        reply = call(runner, "/v1/chat/completions", chat(), ready=False)
        self.assertEqual(reply.headers["endivegw-outcome"], "not-run")
        self.assertEqual(reply.headers["retry-after"], "1")

    def test_router_that_seems_cut_off_leaves_the_balancer(self):
        """Most targets of a router fell silent at once. Its health page fails,
        so that callers go to another one; who comes all the same is served."""
        runner = FakeRunner(ANSWERED)
        self.assertEqual(call(runner, "/readyz", healthy=False).status, 503)
        reply = call(runner, "/v1/chat/completions", chat(), healthy=False)
        self.assertEqual(reply.status, 200)


class RetryTests(unittest.TestCase):
    """What a caller's next try under its key is told before the key is looked up.

    A router dies while a badge is being printed, and the caller tries again under
    its key. The router that it comes to has just started and knows no
    configuration yet, or is about to stop, or no longer knows the caller's API key.
    It refuses without asking whether the key has run. A caller that was told "not
    run" there would send the request under another key, and a second badge would be
    printed.
    """

    def test_a_router_that_takes_no_work_cannot_say_that_a_key_did_not_run(self):
        """The refusal is told, with when to come back, and as unknown."""
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
        """An API key, a model or a service may have been there at the first try."""
        generation = "/v1/chat/completions"
        notices = "/services/lobby-app/notices"
        piece = b"x" * 200_000
        for path, chunks, headers, code in (
            (generation, [chat()], {"authorization": "Bearer x"}, "invalid_api_key"),
            (generation, [chat()], {"endivegw_budget": "other"}, "budget_not_found"),
            (generation, [chat(model="other")], {}, "model_not_found"),
            (generation, [b"{"], {}, "bad_request"),
            (generation, [chat(pad="x" * 3000)], {}, "body_too_large"),
            ("/services/other/notices", [b"x"], {}, "service_not_found"),
            ("/services/lobby-app/../x", [b"x"], {}, "bad_request"),
            (notices, [piece, piece], {}, "body_too_large"),
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
