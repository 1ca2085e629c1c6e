"""Targets that fall silent for a second or so and go on, and targets that never do."""

from __future__ import annotations

import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.decisions import RetryPolicy
from tests.platform_fleet import Answer, ClientFleet, platform_fleet

#: Longer than the pause after which a router looks for another target.
_SILENT_S = 1.6

#: Long enough for several such pauses.
_LONG_SILENT_S = 3.0

#: Time before the first event of a slow target, shorter than that pause.
_PREFILL_S = 1.0

#: Longer than any request waits.
_FOR_EVER_S = 60.0

_TOKENS = (100, 40)
_DEADLINE_MS = 8000


def _run(
    scenario: Callable[[ClientFleet], Awaitable[None]],
    engines: int = 1,
    software_versions: dict[str, str] | None = None,
    slots: int = 8,
) -> None:
    async def run() -> None:
        async with platform_fleet(
            engines=engines,
            software_versions=software_versions,
            slots=slots,
            route_timeout_ms=_DEADLINE_MS,
        ) as fleet:
            await scenario(fleet)

    anyio.run(run)


async def _stream(fleet: ClientFleet, count: int = 1) -> list[Answer]:
    """Return the answers to streams that are requested at the same time."""
    answers: list[Answer] = []

    async def request() -> None:
        answers.append(
            await fleet.send_request(
                "resumable", tokens=_TOKENS, deadline_ms=_DEADLINE_MS
            )
        )

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(request)
    return answers


class SilentTargetTests(unittest.TestCase):
    """Each target that is silent here is sound, and no other one can take its work."""

    def check_streams(self, answers: list[Answer]) -> None:
        """Check that each caller got each event once, and the end."""
        ids = [f"id: {number}\n".encode() for number in range(1, 6)]
        for answer in answers:
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual([answer.body.count(event) for event in ids], [1] * 5)

    # Guards against a stream that ends in its middle because its only target pauses.
    def test_a_stream_waits_for_its_only_target(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            worker = fleet.workers["e-1"]
            worker.silent_s, worker.remaining_silences = _SILENT_S, 4
            worker.silent_after_events = 2
            self.check_streams(await _stream(fleet, 4))

        _run(scenario)

    # Guards against a 502 for a stream whose only target pauses before its answer.
    def test_a_stream_waits_for_its_first_event(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            worker = fleet.workers["e-1"]
            worker.silent_s, worker.remaining_silences = _SILENT_S, 4
            self.check_streams(await _stream(fleet, 4))

        _run(scenario)

    # Guards against a 502 for a request whose only target pauses before its answer.
    def test_a_plain_request_waits_for_its_only_target(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            worker = fleet.workers["p-1"]
            worker.silent_s, worker.remaining_silences = _SILENT_S, 1
            answer = await fleet.send_request("notice", body=b"a")
            self.assertEqual((answer.status, answer.body), (200, b"a"))
            self.assertEqual(len(worker.runs), 1)

        _run(scenario)

    # Guards against a stream that ends in its middle because its second target pauses.
    def test_a_stream_waits_if_all_its_targets_are_silent(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            for name in ("e-1", "e-2"):
                worker = fleet.workers[name]
                worker.silent_s, worker.remaining_silences = _SILENT_S, 100
                worker.silent_after_events = 2
            self.check_streams(await _stream(fleet, 8))

        _run(scenario, engines=2)

    # Guards against streams cut by one pause of many streams, more than may be retried.
    def test_streams_wait_when_the_retries_are_used_up(self) -> None:
        streams = 24

        async def scenario(fleet: ClientFleet) -> None:
            workers = [fleet.workers[name] for name in ("e-1", "e-2")]
            for worker in workers:
                worker.silent_s, worker.remaining_silences = _LONG_SILENT_S, streams
                worker.silent_after_events = 2
            self.check_streams(await _stream(fleet, streams))
            retries = sum(len(worker.runs) for worker in workers) - streams
            self.assertGreater(retries, 0)
            self.assertLessEqual(retries, RetryPolicy().burst)

        _run(scenario, engines=2, slots=2 * streams)

    # Guards against a cut stream when only targets of other software are left.
    def test_a_stream_waits_for_the_only_target_of_its_version(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            for name in ("e-1", "e-2"):
                worker = fleet.workers[name]
                worker.silent_s, worker.remaining_silences = _SILENT_S, 100
                worker.silent_after_events = 2
            for answer in await _stream(fleet, 6):
                self.assertEqual((answer.status, answer.complete), (200, True))
                self.assertEqual(answer.body.count(b"id: "), 5)
                counts = {answer.body.count(b" v1"), answer.body.count(b" v2")}
                self.assertEqual(counts, {0, 5})

        _run(scenario, engines=2, software_versions={"e-1": "v1", "e-2": "v2"})


class DeadTargetTests(unittest.TestCase):
    """A target that never speaks again is not waited for where another one answers."""

    # Guards against streams that wait for a dead target until their callers leave.
    def test_a_stream_goes_on_at_another_target(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            worker = fleet.workers["e-1"]
            worker.silent_s, worker.remaining_silences = _FOR_EVER_S, 100
            worker.silent_after_events = 2
            with anyio.fail_after(_DEADLINE_MS / 1000 / 2):
                answers = await _stream(fleet, 6)
            for answer in answers:
                self.assertEqual((answer.status, answer.complete), (200, True))
                self.assertEqual(answer.body.count(b"id: "), 5)

        _run(scenario, engines=2)

    # Guards against events that come twice when a silent target goes on first.
    def test_a_stream_stays_at_a_target_that_speaks_first(self) -> None:
        async def scenario(fleet: ClientFleet) -> None:
            for worker in fleet.workers.values():
                worker.silent_s, worker.remaining_silences = _SILENT_S, 1
                worker.silent_after_events = 2
                worker.prefill_s = _PREFILL_S
            (answer,) = await _stream(fleet)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(answer.body.count(b"id: "), 5)
            engines = [fleet.workers[name].runs for name in ("e-1", "e-2")]
            self.assertEqual(sorted(map(len, engines)), [1, 1])
            beside = min(engines, key=lambda runs: runs[0].events)[0]
            self.assertEqual(beside.fields["last-event-id"], "2")

        _run(scenario, engines=2)


if __name__ == "__main__":
    unittest.main()
