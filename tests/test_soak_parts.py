"""The callers and the configurations of the soak test."""

from __future__ import annotations

import copy
import json
import random
import unittest
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.platform.configuration import decode_configuration
from tests.caller_promises import Outcome, SentRequest
from tests.soak_callers import Call, CallerLink
from tests.soak_configuration import KEY, SoakConfiguration

_TIMEOUT_S = 5.0
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"
_CLOSING = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nab"
_CHUNK = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"


def _new_calls(count: int) -> list[Call]:
    return [
        Call(SentRequest(f"notice-{number}", "notice", "0.1", 0.0), {}, b"body")
        for number in range(count)
    ]


class CallerLinkTests(unittest.TestCase):
    """A caller records what came back for each request."""

    def exchange(self, answer: bytes, count: int = 1, pause_s: float = 0.0) -> Any:
        """Send requests to a server that sends some bytes and closes.

        :return: the calls, and whether the connection may be used again.
        """
        calls = _new_calls(count)

        async def serve(stream: SocketStream) -> None:
            async with stream:
                expected = sum(len(call.encode()) for call in calls)
                while expected:
                    expected -= len(await stream.receive())
                await stream.send(answer)

        async def run() -> bool:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with anyio.fail_after(_TIMEOUT_S):
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    async with CallerLink(stream, "0.1") as link:
                        await link.exchange(calls, pause_s)
                tasks.cancel_scope.cancel()
            return link.usable

        is_usable = anyio.run(run)
        return calls, is_usable

    def outcomes(self, answer: bytes, count: int) -> list[Outcome]:
        """Return what each of some pipelined requests got."""
        return [call.sent.outcome for call in self.exchange(answer, count)[0]]

    def test_whole_answers_leave_the_connection_usable(self) -> None:
        calls, is_usable = self.exchange(_ANSWER * 2, 2)
        self.assertEqual([call.answer for call in calls], [b"ab", b"ab"])
        self.assertEqual([call.sent.status for call in calls], [200, 200])
        self.assertEqual(calls[1].sent.before, calls[0].sent)
        self.assertTrue(is_usable)

    def test_a_closing_answer_ends_the_use_of_the_connection(self) -> None:
        self.assertFalse(self.exchange(_CLOSING)[1])

    def test_missing_and_cut_answers_are_told_apart(self) -> None:
        whole, cut, nothing = Outcome.WHOLE, Outcome.CUT, Outcome.NOTHING
        self.assertEqual(self.outcomes(_ANSWER, 2), [whole, nothing])
        self.assertEqual(self.outcomes(_CLOSING, 2), [whole, nothing])
        self.assertEqual(self.outcomes(_ANSWER + _CHUNK, 3), [whole, cut, nothing])
        self.assertEqual(self.outcomes(b"", 2), [nothing, nothing])

    def test_a_body_may_be_sent_in_two_parts(self) -> None:
        sent = self.exchange(_ANSWER, pause_s=0.05)[0][0].sent
        self.assertEqual(sent.outcome, Outcome.WHOLE)
        self.assertGreaterEqual(sent.whole_s - sent.began_s, 0.04)


class ConfigurationTests(unittest.TestCase):
    """Configurations change in every respect and are always valid."""

    def test_each_version_is_valid_and_newer(self) -> None:
        configuration = SoakConfiguration(1000, random.Random(1))
        decoded = []
        for _ in range(200):
            configuration.change()
            decoded.append(
                decode_configuration(json.dumps(configuration.document).encode())
            )
        versions = [configuration.version for configuration in decoded]
        self.assertEqual(versions, sorted(set(versions)))
        accounts = [configuration.accounts[0] for configuration in decoded]
        self.assertTrue(all(KEY in account.keys for account in accounts))
        prepaid = [account.prepaid_tokens for account in accounts]
        self.assertEqual(prepaid, sorted(prepaid))
        for changes in (
            {configuration.limits.idle_timeout_s for configuration in decoded},
            {configuration.limits.body_bytes for configuration in decoded},
            {len(configuration.routes) for configuration in decoded},
            {account.keys for account in accounts},
            {route.services for entry in decoded for route in entry.routes},
            {route.timeout_s for entry in decoded for route in entry.routes},
            set(prepaid),
        ):
            self.assertGreater(len(changes), 1)

    def test_the_settled_configuration_has_the_routes_of_the_fleet(self) -> None:
        configuration = SoakConfiguration(1000, random.Random(1))
        settled = copy.deepcopy(configuration.document)
        for _ in range(50):
            configuration.change()
        configuration.settle()
        self.assertEqual(configuration.document["Routes"], settled["Routes"])
        self.assertEqual(configuration.document["Limits"], settled["Limits"])
        self.assertEqual(configuration.keys, [KEY])


if __name__ == "__main__":
    unittest.main()
