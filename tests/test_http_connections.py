"""What a connection of a router with sidecars gives up, without a network."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, Callable

import uvicorn
from uvicorn.server import ServerState

from endivegw.capacity import ConnectionLimit, HeldMemory
from endivegw.daemons.http_body import read_body
from endivegw.daemons.http_front import _refuse
from endivegw.http_connections import ClientLimits, SharedHttpProtocol, request_input
from endivegw.http_protocol import HeaderLimit
from endivegw.results import Refused
from tests.test_pipelined_upgrades import RecordingTransport

_HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n"
_FULL = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"


async def _read(scope: Any, receive: Any, send: Any) -> None:
    """Read the body, as for a completion."""
    body = await read_body(receive, 200_000, request_input(scope))
    if isinstance(body, Refused):
        await _refuse(send, body)


async def _pass_on(scope: Any, receive: Any, send: Any) -> None:
    """Pass the body on to a target, as for a call of a service."""
    source = request_input(scope)
    assert source is not None
    await receive()
    source.passed_on = True
    await receive()


def _play(app: Any, scenario: Callable[[SharedHttpProtocol], Any]) -> bytes:
    """Run a scenario on a connection; return what was sent on it."""

    async def run() -> bytes:
        transport = RecordingTransport()
        protocol = SharedHttpProtocol(
            uvicorn.Config(app, lifespan="off", log_config=None),
            server_state=ServerState(),
            app_state={},
            limit=HeaderLimit(4096, (), b""),
            limits=ClientLimits(
                HeldMemory(), ConnectionLimit(), 30.0, 10.0, _FULL, _FULL
            ),
        )
        protocol.connection_made(transport)
        await scenario(protocol)
        await asyncio.sleep(0.01)
        written = bytes(transport.written)
        transport.close()
        protocol.connection_lost(None)
        return written

    return asyncio.run(run())


class GiveUpTests(unittest.TestCase):
    """A process that holds too much."""

    # Guards against an unfinished body that is held although others need its room.
    def test_unfinished_body_is_refused_as_not_run(self) -> None:
        async def scenario(protocol: SharedHttpProtocol) -> None:
            protocol.data_received(_HEAD + b"x" * 1000)
            await asyncio.sleep(0.01)
            self.assertEqual(protocol.releasable_bytes, 4000)
            protocol.give_up()
            self.assertEqual(protocol.releasable_bytes, 0)
            protocol.data_received(b"x" * 1000)

        written = _play(_read, scenario)
        self.assertTrue(written.startswith(b"HTTP/1.1 503"), written)
        self.assertIn(b"endivegw-outcome: not-run", written)

    # Guards against a body refused as not run of which a target got a part.
    def test_body_of_which_a_part_was_passed_on_is_kept(self) -> None:
        async def scenario(protocol: SharedHttpProtocol) -> None:
            protocol.data_received(_HEAD + b"x" * 1000)
            await asyncio.sleep(0.01)
            self.assertEqual(protocol.releasable_bytes, 0)

        self.assertEqual(_play(_pass_on, scenario), b"")

    # Guards against a head that is held for ever.
    def test_unfinished_head_is_refused(self) -> None:
        async def scenario(protocol: SharedHttpProtocol) -> None:
            protocol.data_received(_HEAD[:-4])
            protocol.give_up()

        self.assertEqual(_play(_read, scenario), _FULL)


if __name__ == "__main__":
    unittest.main()
