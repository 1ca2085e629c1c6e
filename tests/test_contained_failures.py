"""Failures in tasks of a router while it serves requests."""

from __future__ import annotations

import socket
import unittest
from typing import Callable

import anyio

from tests.platform_fleet import Answer, ClientFleet, platform_fleet

_TOKENS = (100, 40)
_SILENT_S = 1.0


def _run(fail: Callable[[ClientFleet], None]) -> list[Answer]:
    """Return the answers to a request during which a router fails, and to the next."""
    answers: list[Answer] = []

    async def scenario() -> None:
        async with platform_fleet(engines=1) as fleet:
            worker = fleet.workers["e-1"]
            worker.silent_s, worker.remaining_silences = _SILENT_S, 1
            worker.silent_after_events = 2

            async def request() -> None:
                answers.append(await fleet.send_request("resumable", tokens=_TOKENS))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(request)
                await anyio.sleep(_SILENT_S / 2)
                fail(fleet)
            answers.append(await fleet.send_request("resumable", tokens=_TOKENS))

    anyio.run(scenario)
    return answers


#: Datagrams that do not decode, or that a receiver fails to apply.
_DATAGRAMS = (
    b'["state","r",1e999,{},{},1.0]',
    b'["ask","r","t","hotel",1e999,5]',
    b"[" * 5000,
    b'["zone","r",["z"],true,1]',
)


class DatagramTests(unittest.TestCase):
    """A router receives what no router sends."""

    # Guards against one datagram that ends the process and all answers in progress.
    def test_answers_are_completed(self) -> None:
        def send(fleet: ClientFleet) -> None:
            entry = fleet.routers[0].entry
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for datagram in _DATAGRAMS:
                    sender.sendto(datagram, (entry.host, entry.port))

        for answer in _run(send):
            self.assertEqual((answer.status, answer.complete), (200, True))

    # Guards against a fault in the handling of a datagram that ends the process.
    def test_answers_are_completed_if_a_message_cannot_be_applied(self) -> None:
        def send(fleet: ClientFleet) -> None:
            link = fleet.routers[0]._parts.link

            def fail(*arguments: object) -> None:
                raise LookupError("an unexpected error")

            link._on_streams = fail
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                datagram = b'["began","r",[]]'
                sender.sendto(datagram, (link.entry.host, link.entry.port))

        for answer in _run(send):
            self.assertEqual((answer.status, answer.complete), (200, True))


if __name__ == "__main__":
    unittest.main()
