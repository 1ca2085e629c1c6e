"""Streams stay at the software version of targets that began them."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio
from attrs import define, field

from tests.platform_fleet import Answer, ClientFleet, platform_fleet

#: Streams that may hold events of two versions.
MAX_JOINED = 2

SEED = 1
STREAMS = 120
EVENTS = 8

#: Streams that callers leave and resume after a restart of all routers.
LEFT = 16
TRIES = 3

#: Seconds after which a stream's record survives the loss of all routers.
SAVED_WITHIN_S = 1.5

#: Seconds within which targets start again.
REPLACED_WITHIN_S = 1.0

#: Three targets of each of two software versions.
VERSIONS = {f"e-{number}": "v1" if number <= 3 else "v2" for number in range(1, 7)}


def events_of(answer: Answer) -> list[tuple[int, str]]:
    """Return the number and the software version of each complete event."""
    found = []
    for event in answer.body.split(b"\n\n")[:-1]:
        number, version = event.rpartition(b"data: ")[2].decode().split()
        found.append((int(number), version))
    return found


@define
class Counts:
    """Count streams.

    :ivar joined: streams with events of two versions, by how they came about.
    """

    new: int = 0
    begun: int = 0
    resumed: int = 0
    continued: int = 0
    joined: dict[str, int] = field(factory=lambda: {"answer": 0, "tries": 0})


@define
class Caller:
    """Send streams, leave some of them, and resume them at other routers."""

    fleet: ClientFleet
    rng: random.Random
    counts: Counts = field(factory=Counts)

    async def send_stream(self) -> None:
        """Send one stream; a quarter is broken by a target, a quarter is left."""
        fleet, rng, counts = self.fleet, self.rng, self.counts
        way = rng.random()
        if way < 0.25:
            name = rng.choice(list(VERSIONS))
            fleet.workers[name].break_after_events = rng.randint(1, EVENTS - 2)
        leaves = rng.randint(1, EVENTS - 2) if 0.25 <= way < 0.5 else None
        attempt_id = f"s-{rng.getrandbits(64):016x}"
        router = rng.randrange(len(fleet.ports))
        counts.new += 1
        first = await self._send(router, attempt_id, None, leaves)
        events = events_of(first)
        counts.begun += bool(events)
        self._count_joined("answer", events)
        if first.complete or not events:
            return
        counts.resumed += 1
        last, second = events[-1][0], Answer(0, {}, b"")
        for _ in range(3):
            other = rng.randrange(len(fleet.ports))
            resumes = (("last-event-id", str(last)), ("resumes", attempt_id))
            second = await self._send(
                other, f"s-{rng.getrandbits(64):016x}", resumes, None
            )
            if second.status == 200:
                break
            await anyio.sleep(0.05)
        rest = events_of(second)
        counts.continued += bool(rest)
        self._count_joined("tries", events[-1:] + rest)

    async def _send(
        self,
        router: int,
        attempt_id: str,
        resumes: tuple[tuple[str, str], ...] | None,
        leaves: int | None,
    ) -> Answer:
        router = min(router, len(self.fleet.ports) - 1)
        try:
            return await self.fleet.send_request(
                "resumable",
                router=router,
                tokens=(20, 32),
                body=attempt_id.encode(),
                attempt_id=attempt_id,
                fields=resumes or (),
                leave_after_events=leaves,
            )
        except OSError:
            return Answer(0, {}, b"", complete=False)

    def _count_joined(self, where: str, events: list[tuple[int, str]]) -> None:
        self.counts.joined[where] += len({version for _, version in events}) > 1


Faults = Callable[[ClientFleet], Awaitable[None]]


async def send_streams(fleet: ClientFleet, seed: int, faults: Faults) -> Counts:
    """Send streams to all routers; inject faults when a third of them was sent."""
    for worker in fleet.workers.values():
        worker.events, worker.event_pause_s = EVENTS, 0.02
    caller = Caller(fleet, random.Random(seed))
    async with anyio.create_task_group() as tasks:
        for number in range(STREAMS):
            tasks.start_soon(caller.send_stream)
            if number == STREAMS // 3:
                tasks.start_soon(faults, fleet)
            await anyio.sleep(0.02)
    return caller.counts


async def kill_one(fleet: ClientFleet) -> None:
    """Kill a router."""
    fleet.kill_router(0)


async def roll_out(fleet: ClientFleet) -> None:
    """Replace all targets by a new version in turn; replace routers meanwhile."""
    for number, name in enumerate(list(VERSIONS)):
        fleet.targets[name].software_version = "v2"
        fleet.workers[name].terminated.set()
        if number % 2:
            fleet.kill_router(0)
            fleet.start_router()
        await anyio.sleep(0.25)


async def kill_all(fleet: ClientFleet) -> None:
    """Kill all routers, and start as many."""
    count = len(fleet.routers)
    fleet.kill_routers()
    for _ in range(count):
        fleet.start_router()


def play(seed: int, faults: Faults, versions: dict[str, str] = VERSIONS) -> Counts:
    """Play a fleet of four routers and six targets; return what callers saw."""

    async def scenario() -> Counts:
        async with platform_fleet(4, 6, software_versions=versions) as fleet:
            return await send_streams(fleet, seed, faults)

    return anyio.run(scenario)


class FleetTests(unittest.TestCase):
    """Whole fleets whose engines run two software versions side by side."""

    def test_streams_hold_events_of_one_software_version(self) -> None:
        """Guards against streams continued at another version, after a kill too."""

        counts = play(SEED, kill_one)
        self.assertLessEqual(sum(counts.joined.values()), MAX_JOINED, counts)
        self.assertGreaterEqual(counts.resumed, 12, counts)
        share = counts.continued / counts.resumed
        self.assertGreaterEqual(share, 0.5 * counts.begun / counts.new, counts)

    def test_a_rollout_joins_no_streams(self) -> None:
        """Guards against streams that a rollout hands to the new version."""
        counts = play(SEED, roll_out, dict.fromkeys(VERSIONS, "v1"))
        self.assertLessEqual(sum(counts.joined.values()), MAX_JOINED, counts)

    def test_the_loss_of_all_routers_joins_no_streams(self) -> None:
        """Guards against routers that guess which version began a stream."""
        counts = play(SEED, kill_all)
        self.assertLessEqual(sum(counts.joined.values()), MAX_JOINED, counts)

    def test_streams_go_on_after_a_restart_of_all_routers(self) -> None:
        """Guards against streams that nobody can continue once all routers died."""

        async def scenario() -> None:
            async with platform_fleet(4, 6, software_versions=VERSIONS) as fleet:
                begun = [await self.leave_stream(fleet, n) for n in range(LEFT)]
                await anyio.sleep(SAVED_WITHIN_S)
                fleet.restart_routers()
                await fleet.wait_ready()
                for number, (attempt_id, version) in enumerate(begun):
                    events = await self.resume_stream(fleet, number, attempt_id)
                    self.assertEqual({version}, {found for _, found in events})
                    self.assertEqual(events[0][0], 3)

        anyio.run(scenario)

    # Guards against streams that go on at a version which took the place of theirs
    # while no router ran.
    def test_a_version_that_changes_while_no_router_runs_joins_no_streams(self) -> None:
        async def scenario() -> None:
            versions = dict.fromkeys(VERSIONS, "v1")
            async with platform_fleet(4, 6, software_versions=versions) as fleet:
                begun = [await self.leave_stream(fleet, n) for n in range(LEFT)]
                fleet.kill_routers()
                for name in VERSIONS:
                    fleet.targets[name].software_version = "v2"
                    fleet.workers[name].terminated.set()
                await anyio.sleep(REPLACED_WITHIN_S)
                for _ in range(4):
                    fleet.start_router()
                await fleet.wait_ready()
                statuses = {
                    (
                        await fleet.send_request(
                            "resumable",
                            router=number % 4,
                            tokens=(20, 32),
                            fields=(("last-event-id", "2"), ("resumes", attempt_id)),
                        )
                    ).status
                    for number, (attempt_id, _) in enumerate(begun)
                }
                self.assertEqual(statuses, {503})

        anyio.run(scenario)

    async def leave_stream(self, fleet: ClientFleet, number: int) -> tuple[str, str]:
        """Leave a stream after two events; return its attempt and its version."""
        attempt_id = f"left-{number}"
        answer = await fleet.send_request(
            "resumable",
            router=number % len(fleet.ports),
            tokens=(20, 32),
            body=attempt_id.encode(),
            attempt_id=attempt_id,
            leave_after_events=2,
        )
        return attempt_id, events_of(answer)[1][1]

    async def resume_stream(
        self, fleet: ClientFleet, number: int, attempt_id: str
    ) -> list[tuple[int, str]]:
        """Resume a stream at another router; return the events."""
        for _ in range(TRIES):
            answer = await fleet.send_request(
                "resumable",
                router=(number + 1) % len(fleet.ports),
                tokens=(20, 32),
                fields=(("last-event-id", "2"), ("resumes", attempt_id)),
            )
            if answer.status == 200:
                break
            await anyio.sleep(float(answer.fields["retry-after"]))
        self.assertEqual(answer.status, 200)
        return events_of(answer)


if __name__ == "__main__":
    unittest.main()
