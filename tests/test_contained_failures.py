"""Failures in tasks of a router while it serves requests."""

from __future__ import annotations

import socket
import unittest
from typing import Callable

import anyio

from endivegw.daemons.direct_router import DirectRouterOptions
from tests.platform_fleet import Answer, ClientFleet, platform_fleet

_TOKENS = (100, 40)
_SILENT_S = 1.0
_FOR_EVER_S = 60.0


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


class TaskTests(unittest.TestCase):
    """A task of a router fails while an answer is in progress."""

    # Guards against a fault in a background task that ends the process.
    def test_a_task_is_started_again(self) -> None:
        failures: list[str] = []

        def fail_once(fleet: ClientFleet) -> None:
            targets = fleet.routers[0]._parts.targets

            def fail() -> None:
                del targets.expire_missing
                failures.append("load")
                raise LookupError("an unexpected error")

            targets.expire_missing = fail

        for answer in _run(fail_once):
            self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual(failures, ["load"])

    # Guards against an entry of the registry that ends the process.
    def test_an_entry_that_cannot_be_handled_is_left_out(self) -> None:
        def fail_always(fleet: ClientFleet) -> None:
            targets = fleet.routers[0]._parts.targets

            def fail(*arguments: object) -> None:
                raise LookupError("an unexpected error")

            targets._on_entry = fail
            row = fleet.store.documents("servers")["e-1"]
            fleet.store.put("servers", "e-1", {**row, "Sequence": 2})

        for answer in _run(fail_always):
            self.assertEqual((answer.status, answer.complete), (200, True))

    # Guards against answers cut because the accounting of tokens failed.
    def test_answers_are_completed_before_a_router_without_accounts_ends(self) -> None:
        answers: list[Answer] = []

        async def scenario() -> None:
            async with platform_fleet(engines=1) as fleet:
                worker = fleet.workers["e-1"]
                worker.silent_s, worker.remaining_silences = _SILENT_S, 1
                worker.silent_after_events = 2
                router = fleet.routers[0]
                router._options = DirectRouterOptions(0.1, _SILENT_S * 3)

                async def fail() -> bool:
                    raise LookupError("an unexpected error")

                async def request() -> None:
                    answers.append(
                        await fleet.send_request("resumable", tokens=_TOKENS)
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(request)
                    await anyio.sleep(_SILENT_S / 2)
                    router._parts.allowances._writer._write = fail
                with anyio.fail_after(_FOR_EVER_S):
                    await anyio.sleep_forever()

        with self.assertRaises(ExceptionGroup) as raised:
            anyio.run(scenario)
        self.assertIsNotNone(raised.exception.subgroup(LookupError))
        self.assertEqual(len(answers), 1)
        self.assertEqual((answers[0].status, answers[0].complete), (200, True))


class AttemptTests(unittest.TestCase):
    """An unexpected error ends an attempt, or the record of one."""

    def check_answered(self, fail: Callable[[ClientFleet], None]) -> None:
        """Check that a request is answered during a failure."""

        async def scenario() -> None:
            async with platform_fleet(engines=2) as fleet:
                fail(fleet)
                answer = await fleet.send_request("resumable", tokens=_TOKENS)
                self.assertEqual((answer.status, answer.complete), (200, True))

        anyio.run(scenario)

    # Guards against a request that gets 502 although another target can answer it.
    def test_another_target_gets_the_request(self) -> None:
        def fail_once(fleet: ClientFleet) -> None:
            context = fleet.routers[0]._parts.context
            read = context.wire.read_answer_fields

            def fail(*arguments: object) -> None:
                context.wire.read_answer_fields = read
                raise LookupError("an unexpected error")

            context.wire.read_answer_fields = fail

        self.check_answered(fail_once)

    # Guards against a complete answer that is lost because its record fails.
    def test_an_answer_is_complete_without_its_record(self) -> None:
        def fail_always(fleet: ClientFleet) -> None:
            def fail(*arguments: object) -> None:
                raise LookupError("an unexpected error")

            fleet.routers[0]._parts.context.quarantine.answered = fail

        self.check_answered(fail_always)


if __name__ == "__main__":
    unittest.main()
