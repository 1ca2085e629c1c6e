"""Requests that run at a further target beside a silent one."""

from __future__ import annotations

import contextlib
import copy
import os
import time
import unittest
from typing import Awaitable, Callable
from unittest import mock

import anyio
import anyio.abc
from anyio.abc import SocketStream

from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import PlatformWorker, WorkerRun
from tests.platform_fleet import CONFIGURATION, Answer, ClientFleet, platform_fleet

_TOKENS = (100, 40)
_DEADLINE_MS = 7000
_MAX_TARGETS = 4

#: Longer than the pause after which a router looks for another target.
_SILENT_S = 1.6

#: Longer than several such pauses.
_LONG_SILENT_S = 3.0

_EVENTS = [f"id: {number}\n".encode() for number in range(1, 6)]

#: Answers a request at a worker in place of the stand-in's own answer; the number
#: counts the requests from 0.
_Script = Callable[
    [PlatformWorker, SocketStream, dict[str, str], bytes, int], Awaitable[bool]
]
_answer = PlatformWorker._answer


def run_script(
    script: _Script, scenario: Callable[[ClientFleet], Awaitable[None]], engines: int
) -> None:
    """Run a fleet whose engines answer as scripted."""
    arrivals: list[str] = []

    async def answer(
        worker: PlatformWorker,
        stream: SocketStream,
        fields: dict[str, str],
        body: bytes,
    ) -> bool:
        arrivals.append(worker.instance_id)
        return await script(worker, stream, fields, body, len(arrivals) - 1)

    async def run() -> None:
        async with platform_fleet(engines=engines) as fleet:
            configuration = copy.deepcopy(CONFIGURATION)
            configuration["Version"] = 2
            for route in configuration["Routes"]:  # type: ignore[attr-defined]
                route["MaxAttempts"] = _MAX_TARGETS
                route["TimeoutMs"] = _DEADLINE_MS
            fleet.store.put("op", "config", configuration)
            context = fleet.routers[0]._parts.context
            with anyio.fail_after(5.0):
                while context.table is None or context.table.version < 2:
                    await anyio.sleep(0.02)
            with mock.patch.object(PlatformWorker, "_answer", answer):
                await scenario(fleet)

    anyio.run(run)


async def _request(fleet: ClientFleet, body: bytes = b"x") -> Answer:
    return await fleet.send_request(
        "resumable", tokens=_TOKENS, deadline_ms=_DEADLINE_MS, body=body
    )


async def _send_failure(
    worker: PlatformWorker, stream: SocketStream, fields: dict[str, str]
) -> bool:
    """Answer a request with a failure of the worker."""
    worker.runs.append(WorkerRun(fields["endivegw-attempt-id"], fields, b""))
    extra = "endivegw-response-seal: s\r\ncontent-length: 0\r\n"
    attempt = fields["endivegw-attempt-id"]
    await stream.send(worker._response_head(500, attempt, extra))
    return True


async def _refuse(
    worker: PlatformWorker, stream: SocketStream, fields: dict[str, str]
) -> bool:
    """Answer that a request was not run."""
    extra = "endivegw-not-executed: 1\r\ncontent-length: 0\r\n"
    attempt = fields["endivegw-attempt-id"]
    await stream.send(worker._response_head(503, attempt, extra))
    return True


def _write(stream: SocketStream, data: bytes) -> None:
    """Send bytes before any other task runs."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    os.write(raw.fileno(), data)


class _Arrivals:
    """Record which targets got a request of which two fall silent at once."""

    def __init__(self) -> None:
        self.names: list[str] = []

    async def answer_two_silences(
        self,
        worker: PlatformWorker,
        stream: SocketStream,
        fields: dict[str, str],
        body: bytes,
        number: int,
    ) -> bool:
        """Answer nothing but the beginning of an event, and stop the process once."""
        self.names.append(worker.instance_id)
        if number:
            await anyio.sleep_forever()
        extra = "endivegw-response-seal: s\r\ntransfer-encoding: chunked\r\n"
        attempt = fields["endivegw-attempt-id"]
        await stream.send(worker._response_head(200, attempt, extra))
        await anyio.sleep(1.25)
        # From now on the second silence of this target is counted.
        await stream.send(b"2\r\nid\r\n")
        await anyio.sleep(1.0)
        # The process stands still while both silences become long enough.
        time.sleep(0.35)
        await anyio.sleep_forever()
        return False


class BesideTests(unittest.TestCase):
    """The first target is silent for some time and goes on; another one joins it."""

    def check_stream(self, answer: Answer) -> None:
        """Check that a caller got each event once, and the end."""
        self.assertEqual((answer.status, answer.complete), (200, True))
        counts = [answer.body.count(event) for event in _EVENTS]
        self.assertEqual(counts, [1] * len(_EVENTS))

    # Guards against a sound stream that is cut because the target beside it fails.
    def test_a_failure_beside_a_silent_target_does_not_cut_its_stream(self) -> None:
        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                return await _send_failure(worker, stream, fields)
            worker.silent_s, worker.remaining_silences = _SILENT_S, 1
            worker.silent_after_events = 2
            return await _answer(worker, stream, fields, body)

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))

        run_script(script, scenario, engines=2)

    # Guards against a failure that a caller gets although a silent target goes on.
    def test_a_failure_beside_a_silent_target_does_not_replace_its_answer(self) -> None:
        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                return await _send_failure(worker, stream, fields)
            worker.silent_s, worker.remaining_silences = _SILENT_S, 1
            return await _answer(worker, stream, fields, body)

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))

        run_script(script, scenario, engines=2)

    # Guards against requests sent again and again to a target that refuses them.
    def test_a_target_that_refused_a_request_does_not_get_it_again(self) -> None:
        arrivals: list[str] = []

        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            arrivals.append(worker.instance_id)
            if number:
                return await _refuse(worker, stream, fields)
            worker.silent_s, worker.remaining_silences = _LONG_SILENT_S, 1
            return await _answer(worker, stream, fields, body)

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))
            self.assertEqual(sorted(arrivals), sorted(set(arrivals)))

        run_script(script, scenario, engines=2)

    # Guards against a target's answer replaced by a time-out of the one beside it.
    def test_a_failure_is_relayed_if_the_target_beside_stays_silent(self) -> None:
        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                await anyio.sleep_forever()
            await anyio.sleep(_SILENT_S)
            return await _send_failure(worker, stream, fields)

        async def scenario(fleet: ClientFleet) -> None:
            assert fleet.tasks is not None
            target = PlatformTarget("p-2", "plain", PlatformWorker("p-2"))
            fleet.tasks.start_soon(target.run, fleet.store)
            dispatcher = fleet.routers[0]._parts.context.queue.dispatcher
            with anyio.fail_after(5.0):
                while "p-2" not in dispatcher._targets:
                    await anyio.sleep(0.02)
            answer = await fleet.send_request("notice", deadline_ms=4000)
            self.assertEqual(answer.status, 500)

        run_script(script, scenario, engines=1)

    # Guards against one request placed twice by two silences at the same moment.
    def test_two_silences_at_once_place_a_request_once(self) -> None:
        arrivals = _Arrivals()

        async def scenario(fleet: ClientFleet) -> None:
            with anyio.move_on_after(_LONG_SILENT_S):
                await _request(fleet)
            self.assertEqual(len(arrivals.names), 3)

        run_script(arrivals.answer_two_silences, scenario, engines=5)

    # Guards against slots of targets that stay taken after two silences at once.
    def test_two_silences_at_once_leave_no_slot_taken(self) -> None:
        arrivals = _Arrivals()

        async def scenario(fleet: ClientFleet) -> None:
            with anyio.move_on_after(_LONG_SILENT_S):
                await _request(fleet)
            dispatcher = fleet.routers[0]._parts.context.queue.dispatcher
            await anyio.sleep(0.5)
            loads = dispatcher.local_load().values()
            self.assertEqual(sum(load.running for load in loads), 0)

        run_script(arrivals.answer_two_silences, scenario, engines=5)

    # Guards against a whole answer held back by a target that is asked after it.
    def test_an_answer_at_the_moment_of_a_silence_is_sent(self) -> None:
        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                await anyio.sleep_forever()
            # Shortly before the target beside this one has been silent for long.
            await anyio.sleep(2.3)
            extra = "endivegw-response-seal: s\r\ntransfer-encoding: chunked\r\n"
            head = worker._response_head(200, fields["endivegw-attempt-id"], extra)
            chunks = [
                worker._chunk(b"id: %d\ndata: x\n\n" % at)
                for at in range(1, len(_EVENTS) + 1)
            ]
            _write(stream, head + b"".join(chunks) + b"0\r\n\r\n")
            # The process stands still.
            time.sleep(0.3)
            return True

        async def scenario(fleet: ClientFleet) -> None:
            with anyio.fail_after(_DEADLINE_MS / 1000 / 2):
                self.check_stream(await _request(fleet))

        run_script(script, scenario, engines=4)

    # Guards against a stream that a late failure of the target before it ends.
    def test_a_failure_at_the_moment_of_an_event_does_not_cut_the_stream(self) -> None:
        streams: list[SocketStream] = []

        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            attempt = fields["endivegw-attempt-id"]
            streams.append(stream)
            if not number:
                await anyio.sleep_forever()
            if number > 1:
                return await _answer(worker, stream, fields, body)
            await anyio.sleep(0.3)
            extra = "endivegw-response-seal: s\r\ntransfer-encoding: chunked\r\n"
            head = worker._response_head(200, attempt, extra)
            event = worker._chunk(b"id: 1\ndata: 1\n\n")
            _write(stream, head + event)
            extra = "endivegw-response-seal: s\r\ncontent-length: 0\r\n"
            _write(streams[0], worker._response_head(500, attempt, extra))
            for at in range(2, len(_EVENTS) + 1):
                await anyio.sleep(0.05)
                await stream.send(worker._chunk(b"id: %d\ndata: x\n\n" % at))
            await stream.send(b"0\r\n\r\n")
            return True

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))

        run_script(script, scenario, engines=2)

    # Guards against a stream that two targets work on for long once it went on.
    def test_a_silent_target_stops_soon_after_another_one_goes_on(self) -> None:
        overlap_s: list[float] = []

        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                # The target reads the prompt; its run begins with its first event.
                await anyio.sleep(1.5)
                overlap_s.append(anyio.current_time())
                return await _answer(worker, stream, fields, body)
            worker.silent_s, worker.remaining_silences = 10.0, 1
            worker.silent_after_events = 2
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:

                    async def watch() -> None:
                        # The router closes the connection to end the work.
                        with contextlib.suppress(
                            anyio.EndOfStream, anyio.BrokenResourceError
                        ):
                            await stream.receive()
                        overlap_s.append(anyio.current_time())
                        scope.cancel()

                    tasks.start_soon(watch)
                    await _answer(worker, stream, fields, body)
            return False

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))
            await anyio.sleep(0.1)
            self.assertEqual(len(overlap_s), 2)
            self.assertLess(overlap_s[1] - overlap_s[0], 0.4)

        run_script(script, scenario, engines=2)

    # Guards against an event that is lost because a later one is missing behind it.
    def test_events_before_a_gap_are_relayed(self) -> None:
        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            if number:
                return await _answer(worker, stream, fields, body)
            extra = "endivegw-response-seal: s\r\ntransfer-encoding: chunked\r\n"
            attempt = fields["endivegw-attempt-id"]
            data = b"".join(
                worker._chunk(b"id: %d\ndata: %d\n\n" % (at, at)) for at in (1, 2, 4)
            )
            head = worker._response_head(200, attempt, extra)
            await stream.send(head + data + b"0\r\n\r\n")
            return True

        async def scenario(fleet: ClientFleet) -> None:
            self.check_stream(await _request(fleet))

        run_script(script, scenario, engines=2)


if __name__ == "__main__":
    unittest.main()
