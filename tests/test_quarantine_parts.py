"""Quarantine of prompt parts across a whole fleet of routers, in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.quarantine import (
    QUARANTINE_TABLE,
    Fingerprint,
    Ledger,
    RequestRecord,
    TargetStart,
    is_part,
    part_fingerprints,
)
from endivegw.types import InstanceId
from endivegw_standins.part_world import PartPlay
from endivegw_standins.quarantine_world import QuarantineWorld
from endivegw_standins.virtual_time import VirtualLoop

#: Routers and targets of the fleets.
SIZES = ((4, 9), (26, 30), (68, 60), (300, 60))

#: Sends of deadly requests that may reach targets late.
MAX_LATE = 3

#: Share of sound requests that must be served again while deadly ones still come.
MIN_SERVED = 0.5

#: Number of sound requests from which on their share counts.
MIN_COUNTED = 20

#: Time after the fifth termination from which on sound requests must be served.
SETTLED_S = 6.0

DEADLY_PER_S = 6.0
SOUND_PER_S = 60.0

Scenario = Callable[[PartPlay], Awaitable[None]]


def play(
    body: Scenario, seed: int, routers: int = 4, targets: int = 9, loss: float = 0.0
) -> PartPlay:
    """Run a scenario on a fleet in virtual time and return what was counted."""
    plays: list[PartPlay] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = QuarantineWorld.build(seed, tasks, routers, targets, 2.5)
            world.network.loss = loss
            plays.append(PartPlay(world, random.Random(seed)))
            await anyio.sleep(0.1)
            await body(plays[0])
            tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"loop_factory": VirtualLoop})
    return plays[0]


async def deadly_parts(play: PartPlay, *parts: str, span_s: float = 30.0) -> None:
    """Send sound requests all the time and deadly ones from the third second on."""
    world = play.world
    play.deadly.update(parts)
    world.tasks.start_soon(play.send_sound, SOUND_PER_S, 3.0 + span_s)
    await anyio.sleep(3.0)
    for part in parts:
        world.tasks.start_soon(play.send_with, part, DEADLY_PER_S, span_s)
    await anyio.sleep(span_s + 1.0)


class FleetTests(unittest.TestCase):
    """Deadly requests come at all routers, no two alike."""

    def check(self, play: PartPlay, *parts: str) -> None:
        """Check the sends of deadly requests, and that sound ones are served."""
        for part in parts:
            self.assertLessEqual(play.late_sends(part), MAX_LATE, part)
        ends_s = sorted(
            at_s for part in parts for at_s in play.ends_s.get(part, [])[:5]
        )
        settled_s = ends_s[-1] + SETTLED_S if ends_s else 0.0
        if sum(at_s >= settled_s for at_s, _ in play.ended) >= MIN_COUNTED:
            served = play.served_share(settled_s, settled_s + 60.0)
            self.assertGreaterEqual(served, MIN_SERVED * play.served_share(0.0, 3.0))

    def test_a_part_is_quarantined_in_fleets_of_any_size(self) -> None:
        """Guards against a part that ends target after target in other requests."""
        for routers, targets in SIZES:
            for loss in (0.0, 0.3):
                with self.subTest(routers=routers, loss=loss):
                    found = play(
                        lambda play: deadly_parts(play, "bad"),
                        1,
                        routers,
                        targets,
                        loss,
                    )
                    self.check(found, "bad")

    def test_two_parts_are_told_apart_from_sound_ones(self) -> None:
        """Guards against two causes of which neither explains all terminations."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                found = play(lambda play: deadly_parts(play, "bad", "worse"), seed)
                self.check(found, "bad", "worse")

    def test_a_part_that_was_sound_before_is_quarantined(self) -> None:
        """Guards against a part that is trusted because it was answered once."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(play.send_with, "bad", DEADLY_PER_S, 5.0)
            await anyio.sleep(5.0)
            await deadly_parts(play, "bad")

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.check(play(scenario, seed), "bad")

    def test_restarts_of_routers_do_not_release_a_part(self) -> None:
        """Guards against evidence that rolling restarts of routers wipe out."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(deadly_parts, play, "bad")
            for number in [*range(4)] * 2:
                await anyio.sleep(2.4)
                play.world.start(number)
            await anyio.sleep(15.0)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.check(play(scenario, seed), "bad")

    def test_the_loss_of_all_routers_does_not_release_a_part(self) -> None:
        """Guards against evidence that is lost with all routers."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(deadly_parts, play, "bad")
            await anyio.sleep(8.0)
            for number in range(4):
                play.world.start(number)
            await anyio.sleep(26.0)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.check(play(scenario, seed), "bad")


class BystanderTests(unittest.TestCase):
    """Targets that terminate for reasons of their own."""

    def test_ordinary_terminations_quarantine_no_part(self) -> None:
        """Guards against parts that are blamed because a target crashed beside them."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(play.send_sound, SOUND_PER_S, 40.0)
            await anyio.sleep(3.0)
            for _ in range(35):
                play.terminate(1)
                await anyio.sleep(1.0)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.assertEqual(play(scenario, seed).outcomes["refused"], 0)

    def test_targets_that_terminate_together_quarantine_no_part(self) -> None:
        """Guards against parts that are blamed because a whole zone was lost."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(play.send_sound, SOUND_PER_S, 30.0)
            await anyio.sleep(3.0)
            for _ in range(5):
                play.terminate(6)
                await anyio.sleep(5.0)

        for seed in (1, 2, 3):
            for documents in (20, 200):
                with self.subTest(seed=seed, documents=documents):

                    async def with_documents(play: PartPlay) -> None:
                        play.documents = documents
                        await scenario(play)

                    outcomes = play(with_documents, seed).outcomes
                    self.assertEqual(outcomes["refused"], 0, outcomes)

    def test_parts_are_served_after_all_targets_terminated(self) -> None:
        """Guards against parts that nobody can clear because all are quarantined."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(play.send_sound, 2 * SOUND_PER_S, 20.0)
            for _ in range(4):
                await anyio.sleep(4.0)
                play.terminate(9)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                outcomes = play(scenario, seed).outcomes
                self.assertEqual(outcomes["refused"], 0, outcomes)

    def test_a_sound_part_is_tried_soon(self) -> None:
        """Guards against a new part that is refused for long after a coincidence."""

        async def scenario(play: PartPlay) -> None:
            (key,) = part_fingerprints("engine", [b"new", b"own"])
            for number in range(3):
                start = TargetStart(InstanceId(f"t-{number}"), None)
                play.world.routers[number].manager.record_termination(start, [key])
            await anyio.sleep(1.0)
            await play.send_with("new", 10.0, 20.0)

        found = play(scenario, 1)
        self.assertGreater(found.served_share(0.0, 40.0), 0.3)
        self.assertGreater(found.served_share(14.0, 40.0), 0.9)


class LedgerTests(unittest.TestCase):
    """Decisions about the parts of single requests."""

    def setUp(self) -> None:
        self.ledger = Ledger()

    def terminate(self, number: int, *names: str) -> None:
        """Record that a target terminated beside some fingerprints."""
        start = frozenset({TargetStart(InstanceId(f"t-{number}"), None)})
        for name in names:
            self.ledger.merge(RequestRecord(Fingerprint(name), start), float(number))

    def quarantined(self, *names: str) -> bool:
        """Return whether a request with these fingerprints is quarantined."""
        keys = [Fingerprint(name) for name in names]
        beside = frozenset(keys)
        return any(self.ledger.is_quarantined(key, 10.0, beside) for key in keys)

    def test_parts_that_always_come_together_are_refused_together(self) -> None:
        """Guards against two parts that explain each other and are both let through."""
        for number in range(3):
            self.terminate(number, "~a", "~b")
        self.assertTrue(self.quarantined("~a", "~b"))
        self.assertFalse(self.quarantined("~a"))
        self.assertFalse(self.quarantined("~b"))

    def test_the_parts_of_a_prompt_are_found(self) -> None:
        """Guards against fingerprints that differ, or name a request's own part."""
        first, second = part_fingerprints("engine", [b"a", b"b", b"own"])
        self.assertEqual(part_fingerprints("engine", [b"b", b"own-2"]), (second,))
        self.assertNotEqual(part_fingerprints("other", [b"a", b"own"]), (first,))
        self.assertTrue(is_part(first))
        self.assertEqual(part_fingerprints("engine", [b"own"]), ())
        self.assertEqual(part_fingerprints("engine", []), ())

    def test_invented_parts_are_bounded(self) -> None:
        """Guards against memory and datagrams that grow with invented parts."""
        ids = [str(number).encode() for number in range(100_000)]
        self.assertLess(len(part_fingerprints("engine", ids)), 100)

    def test_parts_have_no_row_before_they_are_suspects(self) -> None:
        """Guards against a row of the store for each part that a target lost."""

        async def scenario(play: PartPlay) -> None:
            play.world.tasks.start_soon(play.send_sound, SOUND_PER_S, 20.0)
            for _ in range(15):
                await anyio.sleep(1.0)
                play.terminate(1)

        rows = play(scenario, 1).world.store.rows
        self.assertLess(sum(table == QUARANTINE_TABLE for table, _ in rows), 10)


if __name__ == "__main__":
    unittest.main()
