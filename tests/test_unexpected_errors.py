"""Errors that no part of a router expects, while it runs a request."""

import contextlib
import json
import unittest

import anyio
import logbook

from endivegw.daemons.background import Background
from endivegw.daemons.http_answers import TruncatedAnswer
from endivegw.daemons.http_guard import AnswerGuard
from endivegw.telemetry import EventLog
from tests.test_http_front import CHUNKS, FakeRunner, Reply, call, chat

ERRORS = (OSError("broken"), KeyError("unknown"), RuntimeError("bug"))


@contextlib.contextmanager
def logged(case):
    """Check that the block logs one unexpected error."""
    with logbook.TestHandler() as handler:
        yield
        messages = [record.message for record in handler.records]
    case.assertEqual(messages, ["unexpected-error"])


class LateErrorRunner(FakeRunner):
    """Fail after a part of the answer."""

    async def run(self, request, sink):
        for chunk in CHUNKS:
            await sink.data(chunk)
        raise self.end


class UnexpectedErrorTests(unittest.TestCase):
    # Guards against errors that end a request without its outcome and a log line.
    def test_caller_learns_that_the_request_may_have_run(self):
        for error in ERRORS:
            with self.subTest(error=error):
                with logged(self):
                    reply = call(FakeRunner(error), "/v1/chat/completions", chat())
                self.assertEqual(reply.status, 502)
                self.assertEqual(reply.headers["endivegw-outcome"], "unknown")
                self.assertTrue(reply.ended)

    # Guards against streams that end without a word after an unexpected error.
    def test_begun_stream_ends_with_an_error_event(self):
        with logged(self):
            reply = call(
                LateErrorRunner(RuntimeError("bug")),
                "/v1/chat/completions",
                chat(stream=True),
            )
        self.assertIn(b"event: error\n", reply.body)
        error = json.loads(reply.body.rpartition(b"data: ")[2])["error"]
        self.assertEqual(error["outcome"], "unknown")
        self.assertTrue(reply.ended)

    # Guards against errors before and after a request's run that leave no outcome.
    def test_error_outside_of_the_run_is_answered_and_logged(self):
        async def application(scope, receive, send):
            raise RuntimeError("bug")

        reply = Reply()
        guard = AnswerGuard(application, EventLog("router"))
        with logged(self):
            anyio.run(guard, {"type": "http"}, None, reply.send)
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.headers["endivegw-outcome"], "unknown")

    # Guards against second heads, and lines about errors, for truncated answers.
    def test_error_after_the_head_closes_the_connection(self):
        for error in (RuntimeError("bug"), ExceptionGroup("", [TruncatedAnswer()])):
            with self.subTest(error=error):

                async def application(scope, receive, send):
                    start = {"type": "http.response.start", "status": 200}
                    await send({**start, "headers": []})
                    raise error

                reply = Reply()
                guard = AnswerGuard(application, EventLog("router"))
                with self.assertRaises(type(error)):
                    anyio.run(guard, {"type": "http"}, None, reply.send)
                self.assertEqual((reply.status, reply.ended), (200, False))

    # Guards against one request's cleanup that ends the requests of all callers.
    def test_failed_cleanup_does_not_cancel_other_tasks(self):
        ended = []

        async def fail():
            raise OSError("broken")

        async def answer():
            await anyio.sleep(0.01)
            ended.append("answered")

        async def scenario():
            async with anyio.create_task_group() as tasks:
                Background(tasks, EventLog("router")).start_soon(fail)
                tasks.start_soon(answer)

        anyio.run(scenario)
        self.assertEqual(ended, ["answered"])


if __name__ == "__main__":
    unittest.main()
