"""Requests that are sent twice to the process at one address."""

from __future__ import annotations

import unittest
from collections import Counter
from functools import partial

import anyio
from attrs import define, field

from endivegw.types import TargetName
from endivegw_standins.platform_target import TARGET_ENTRY, PlatformTarget
from endivegw_standins.platform_worker import ExtraAnswer, PlatformWorker
from tests.platform_fleet import ClientFleet, platform_fleet

#: Requests that a former instance's entry misdirects before a play ends.
_MISDIRECTED = 5

#: Bound on the requests of a play; which target gets one is drawn at random.
_MAX_REQUESTS = 200
_DEADLINE_MS = 1500
_NOT_EXECUTED = "endivegw-not-executed: 1\r\n"

#: Zone without a router, whose targets are preferred by none.
_OTHER_ZONE = "y"

#: Statuses that guarantee that a request did not run.
_NOT_RUN = frozenset({408, 421, 429, 503})

#: Additional answers to the first send, which arrive once the second has arrived.
_EXTRA_ANSWERS = (
    ExtraAnswer(421, has_id=True),
    ExtraAnswer(503, has_id=True, fields=_NOT_EXECUTED),
    ExtraAnswer(500, has_id=True),
)


@define
class _Report:
    """What callers and targets saw.

    :ivar misdirected: number of sends that were meant for a former instance.
    :ivar shunned: targets that get no requests in the end.
    """

    statuses: dict[str, int] = field(factory=dict)
    runs: Counter[str] = field(factory=Counter)
    misdirected: int = 0
    shunned: list[str] = field(factory=list)


async def _play(extra: ExtraAnswer) -> _Report:
    """Send requests while entries of former instances name a target's address."""
    report = _Report()
    async with platform_fleet() as fleet:
        assert fleet.tasks is not None
        worker = fleet.workers["p-2"] = PlatformWorker("p-2")
        other = PlatformTarget("p-2", "plain", worker, zone=_OTHER_ZONE)
        fleet.tasks.start_soon(partial(other.run, fleet.store))
        restarted = fleet.workers["p-1"]
        restarted.extra_answer, restarted.remaining_extras = extra, _MAX_REQUESTS
        for number in range(_MAX_REQUESTS):
            if restarted.misdirected >= _MISDIRECTED:
                break
            await _register_former_instance(fleet, f"former-{number}")
            name = f"print-{number}"
            answer = await fleet.send_request(
                "print", attempt_id=name, deadline_ms=_DEADLINE_MS
            )
            report.statuses[name] = answer.status
        for worker in fleet.workers.values():
            report.runs.update(run.request_id for run in worker.runs)
        report.misdirected = restarted.misdirected
        context = fleet.routers[0]._parts.context
        accepts_work = context.queue.dispatcher.availability.accepts_work
        report.shunned = [
            name
            for name in ("p-1", "p-2")
            if not accepts_work(TargetName(name), context.clock())
        ]
    return report


async def _register_former_instance(fleet: ClientFleet, name: str) -> None:
    """List an instance that has ended, at the address where ``p-1`` listens now."""
    address = f"127.0.0.1:{fleet.targets['p-1'].port}"
    entry = {**TARGET_ENTRY, "Service": "plain", "Address": address, "Zone": "z"}
    fleet.store.put("servers", name, {**entry, "Slots": 8})
    known = fleet.routers[0]._parts.context.queue.dispatcher._targets
    with anyio.fail_after(5.0):
        while not {name, "p-2"}.issubset(known):
            await anyio.sleep(0.01)


class RepeatedSendTests(unittest.TestCase):
    """A send is rejected by another instance; the next goes to the same address."""

    # Guards against a request that runs twice, or is refused and runs, because an
    # additional answer to its first send was taken for the answer to its second.
    def test_an_answer_to_the_first_send_does_not_answer_the_second(self) -> None:
        for extra in _EXTRA_ANSWERS:
            with self.subTest(extra=extra):
                report = anyio.run(_play, extra)
                self.assertGreaterEqual(report.misdirected, _MISDIRECTED)
                repeated = [name for name, runs in report.runs.items() if runs > 1]
                self.assertEqual(repeated, [])
                refused = {
                    name
                    for name, status in report.statuses.items()
                    if status in _NOT_RUN
                }
                self.assertEqual(refused & set(report.runs), set())
                self.assertEqual(set(report.statuses.values()), {200})
                self.assertEqual(report.shunned, [])


if __name__ == "__main__":
    unittest.main()
