"""Targets that send additional answers on a connection."""

from __future__ import annotations

import copy
import functools
import unittest
from collections import Counter
from typing import Callable

import anyio
import h11
from attrs import define, field

from endivegw.types import TargetName
from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import ExtraAnswer, PlatformWorker
from tests.platform_fleet import (
    CONFIGURATION,
    ClientFleet,
    exchange,
    platform_fleet,
)

_ROUTES = ("print", "chat", "notice", "resumable")
_STREAMS = frozenset({"chat", "resumable"})

#: Routes whose requests may not be repeated.
_ONCE = frozenset({"print", "chat"})

#: Requests to each route; a third goes to each of three targets.
_REQUESTS = 40
_DEADLINE_MS = 1500

_PLAIN = ("p-1", "p-2", "p-3")

#: Targets that send additional answers; one plain target and one engine do not.
_EXTRA_SENDERS = ("p-1", "p-2", "e-1", "e-2")
_NOT_EXECUTED = "endivegw-not-executed: 1\r\n"

#: Statuses that guarantee that a request did not run.
_NOT_RUN = frozenset({408, 421, 429, 503})

#: Additional answers that belong to no request in progress.
_EXTRA_ANSWERS = (
    ExtraAnswer(503, fields=_NOT_EXECUTED),
    ExtraAnswer(503, fields=f"{_NOT_EXECUTED}retry-after: 30\r\n"),
    ExtraAnswer(429, fields=_NOT_EXECUTED),
    ExtraAnswer(400, fields=_NOT_EXECUTED),
    ExtraAnswer(400),
    ExtraAnswer(421),
    ExtraAnswer(500),
    ExtraAnswer(200),
    ExtraAnswer(503, fields=f"{_NOT_EXECUTED}server-leaving: 1\r\n"),
    ExtraAnswer(503, fields=f"{_NOT_EXECUTED}server-limit: 0\r\n"),
    ExtraAnswer(200, has_id=True),
    ExtraAnswer(421, has_id=True),
    ExtraAnswer(503, has_id=True, fields=_NOT_EXECUTED),
)


@define
class _Report:
    """What callers and targets saw.

    :ivar statuses: status of each answer, by the id of the request.
    :ivar runs: number of runs of each request.
    :ivar sent_extras: number of additional answers that were sent.
    :ivar shunned: plain targets that get no requests in the end.
    """

    statuses: dict[str, int] = field(factory=dict)
    runs: Counter[str] = field(factory=Counter)
    sent_extras: int = 0
    shunned: list[str] = field(factory=list)


@functools.cache
def _play(extra: ExtraAnswer) -> _Report:
    """Send requests to targets of which some send additional answers."""
    report = _Report()

    async def play() -> None:
        async with platform_fleet(engines=3) as fleet:
            await _prepare(fleet)
            workers = [fleet.workers[name] for name in _EXTRA_SENDERS]
            for worker in workers:
                worker.extra_answer, worker.remaining_extras = extra, _REQUESTS
            async with anyio.create_task_group() as tasks:
                for route in _ROUTES:
                    tasks.start_soon(_send_requests, fleet, route, report)
            for worker in fleet.workers.values():
                report.runs.update(run.request_id for run in worker.runs)
            report.sent_extras = sum(
                _REQUESTS - worker.remaining_extras for worker in workers
            )
            context = fleet.routers[0]._parts.context
            accepts_work = context.queue.dispatcher.availability.accepts_work
            report.shunned = [
                name
                for name in _PLAIN
                if not accepts_work(TargetName(name), context.clock())
            ]

    anyio.run(play)
    return report


async def _prepare(fleet: ClientFleet) -> None:
    """Start more plain targets, and allow requests at three targets."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["Version"] = 2
    for route in configuration["Routes"]:
        route["MaxAttempts"] = 3
    fleet.store.put("op", "config", configuration)
    assert fleet.tasks is not None
    for name in _PLAIN[1:]:
        worker = fleet.workers[name] = PlatformWorker(name)
        target = PlatformTarget(name, "plain", worker)
        fleet.tasks.start_soon(target.run, fleet.store)
    context = fleet.routers[0]._parts.context
    known = context.queue.dispatcher._targets
    with anyio.fail_after(5.0):
        while context.table is None or context.table.version < 2:
            await anyio.sleep(0.02)
        while not set(_PLAIN).issubset(known):
            await anyio.sleep(0.02)


async def _send_requests(fleet: ClientFleet, route: str, report: _Report) -> None:
    """Send requests one after the other, so that connections are used again."""
    for number in range(_REQUESTS):
        name = f"{route}-{number}"
        tokens = (20, 8) if route in _STREAMS else None
        answer = await fleet.send_request(
            route, attempt_id=name, deadline_ms=_DEADLINE_MS, tokens=tokens
        )
        report.statuses[name] = answer.status


class AdditionalAnswerTests(unittest.TestCase):
    """Two of three targets send an additional answer after each of their answers."""

    def check(self, check: Callable[[_Report], None]) -> None:
        """Check the report of each additional answer."""
        for extra in _EXTRA_ANSWERS:
            with self.subTest(extra=extra):
                report = _play(extra)
                self.assertGreater(report.sent_extras, 0)
                check(report)

    # Guards against a request that runs twice, because an answer without its id was
    # taken for its refusal.
    def test_requests_that_may_not_be_repeated_run_once(self) -> None:
        def check(report: _Report) -> None:
            once = {
                name: count
                for name, count in report.runs.items()
                if name.split("-")[0] in _ONCE
            }
            self.assertEqual([name for name in once if once[name] > 1], [])

        self.check(check)

    # Guards against a refusal of a request that runs.
    def test_refused_requests_have_not_run(self) -> None:
        def check(report: _Report) -> None:
            refused = {
                name for name, status in report.statuses.items() if status in _NOT_RUN
            }
            self.assertEqual(refused & set(report.runs), set())

        self.check(check)

    # Guards against a request that fails because of an answer to none.
    def test_each_request_gets_its_own_answer(self) -> None:
        def check(report: _Report) -> None:
            counts = Counter(report.statuses.values())
            self.assertEqual(counts, {200: len(_ROUTES) * _REQUESTS})

        self.check(check)

    # Guards against a target that gets no requests because of an answer to none.
    def test_targets_keep_their_place(self) -> None:
        self.check(lambda report: self.assertEqual(report.shunned, []))


class UnidentifiedRequestTests(unittest.TestCase):
    """A request without an id, whose answer could not be told from another one."""

    # Guards against a request that runs and is not answered.
    def test_a_request_without_an_id_is_refused_at_once(self) -> None:
        async def play() -> None:
            fields = [("host", "h.example"), ("authorization", "Bearer key-1")]
            for ids in ([], [("endivegw-attempt-id", "")]):
                request = h11.Request(
                    method="POST",
                    target="/print/x",
                    headers=[*fields, *ids, ("content-length", "0")],
                )
                async with platform_fleet() as fleet:
                    answer = await exchange(fleet.ports[0], request, b"")
                    self.assertEqual(answer.status, 400)
                    self.assertEqual(fleet.workers["p-1"].runs, [])

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
