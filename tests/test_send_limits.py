"""Limits that targets set for all routers together, shared in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio
from attrs import define, field

from endivegw.decisions import Permits, SendSchedule
from endivegw.decisions.send_permits import SendPermits
from endivegw.gossip.messages import (
    BroadcastMessage,
    PermitQuery,
    PermitResponse,
    decode,
    encode,
)
from endivegw.platform.wire import PlatformWire
from endivegw.routing import LimitReport, TargetLimits
from endivegw.types import InstanceId, TargetName, TargetStart
from endivegw_standins.arrivals import most_arrivals
from endivegw_standins.limit_world import LimitedTarget, LimitWorld
from endivegw_standins.virtual_time import VirtualLoop

#: Time after the first naming from which a limit must hold, and the window in which
#: requests are counted.
CONTACT_S = 3.0
WINDOW_S = 4.0

START = TargetStart(InstanceId("t-0"), 1)


def most_allowed(limit_per_s: float) -> float:
    """Return the largest number of requests in a window that a limit allows."""
    return 1.5 * WINDOW_S * limit_per_s + 5


@define
class Play:
    """A fleet, its targets' limits and its callers.

    :param weights: how the callers are spread over the routers; evenly if None.
    :param during: faults that are injected while the callers send.
    """

    routers: int
    limits: list[float | None]
    per_s: float
    duration_s: float = 10.0
    loss: float = 0.0
    seed: int = 1
    weights: list[float] | None = None
    answer_s: float = 0.02
    during: Callable[[LimitWorld], Awaitable[None]] | None = None
    from_s: float = field(default=0.0, init=False)

    def run(self) -> LimitWorld:
        """Run the play; return the world as it was at the end."""
        return anyio.run(self._run, backend_options={"loop_factory": VirtualLoop})

    async def _run(self) -> LimitWorld:
        async with anyio.create_task_group() as tasks:
            targets = [
                LimitedTarget(TargetName(f"t-{number}"), limit, self.answer_s, 8)
                for number, limit in enumerate(self.limits)
            ]
            world = LimitWorld(random.Random(self.seed), tasks, targets)
            world.network.loss = self.loss
            for number in range(self.routers):
                world.start(f"vm-{number}")
            # Routers report at their start, so that all of them count as responsive.
            await anyio.sleep(2.0)
            self.from_s = world.clock() + CONTACT_S
            if self.during is not None:
                tasks.start_soon(self.during, world)
            weights = self.weights or [1.0] * self.routers
            await world.send(self.duration_s, self.per_s, weights)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        return world

    def used_share(self, world: LimitWorld) -> float:
        """Return the share of all limits that was used."""
        span_s = self.duration_s - CONTACT_S
        sends = [at_s for target in world.targets for at_s in target.arrivals_s]
        limits = sum(limit for limit in self.limits if limit is not None)
        return sum(at_s >= self.from_s for at_s in sends) / span_s / limits


class SumTests(unittest.TestCase):
    """What reaches a target from all routers together."""

    def _check(self, play: Play) -> LimitWorld:
        world = play.run()
        for target, limit_per_s in zip(world.targets, play.limits):
            if limit_per_s is not None:
                most = most_arrivals(target.arrivals_s, play.from_s, WINDOW_S)
                self.assertLessEqual(most, most_allowed(limit_per_s), play)
        return world

    def test_fleets_of_any_size_keep_and_use_the_limits(self) -> None:
        """Guards against a limit that each router applies to its own sends only."""
        for routers in (1, 4, 26):
            play = Play(routers, [2.0, 2.0, 2.0], 50.0)
            world = self._check(play)
            self.assertGreaterEqual(play.used_share(world), 0.8, routers)

    def test_a_router_with_nearly_all_callers_gets_nearly_all_permits(self) -> None:
        """Guards against parts of a limit that idle routers leave unused."""
        for routers in (4, 26):
            weights = [30.0 * routers] + [1.0] * (routers - 1)
            play = Play(routers, [2.0, 2.0, 2.0], 50.0, weights=weights)
            world = self._check(play)
            self.assertGreaterEqual(play.used_share(world), 0.8, routers)

    def test_a_limit_below_one_a_second_is_kept(self) -> None:
        """Guards against rounding each router's part up to a whole request."""
        for routers in (4, 26):
            play = Play(routers, [0.4, 0.4], 30.0, duration_s=20.0)
            world = self._check(play)
            self.assertGreater(play.used_share(world), 0.0)

    def test_the_limit_of_one_target_among_others_is_kept(self) -> None:
        """Guards against routers that all send to a limited target as it is empty."""
        for routers, per_s in ((5, 40.0), (26, 200.0)):
            play = Play(routers, [1.1, None, None, None], per_s)
            world = self._check(play)
            self.assertEqual(set(world.outcomes), {"ok"})
            self.assertGreater(play.used_share(world), 0.5)

    def test_limits_are_kept_in_a_large_fleet(self) -> None:
        """Guards against costs and errors that grow with the number of routers."""
        play = Play(300, [2.0, 2.0, None], 200.0, duration_s=8.0)
        self._check(play)

    def test_limits_are_kept_though_datagrams_are_lost(self) -> None:
        """Guards against own parts that add up to more than coordinators grant."""
        for seed in range(5):
            self._check(Play(5, [1.0, 2.0, 2.0], 50.0, loss=0.3, seed=seed))
        self._check(Play(26, [1.0, 2.0, 2.0], 50.0, loss=0.3))

    def test_limits_are_kept_while_routers_are_killed_and_restarted(self) -> None:
        """Guards against permits of a coordinator that forgot its earlier ones."""

        async def restart_each(world: LimitWorld) -> None:
            for vm in list(world.routers):
                await anyio.sleep(1.5)
                world.kill(vm)
                await anyio.sleep(0.5)
                world.start(vm)

        for seed in range(5):
            self._check(Play(5, [1.1, 1.0, 2.0], 50.0, seed=seed, during=restart_each))

    def test_limits_are_kept_while_the_fleet_is_split(self) -> None:
        """Guards against a coordinator on each side that grants the whole limit."""

        async def split(world: LimitWorld) -> None:
            for _ in range(3):
                await anyio.sleep(1.0)
                for number, vm in enumerate(world.routers):
                    world.network.groups[vm] = number % 2
                await anyio.sleep(2.0)
                world.network.groups.clear()

        for seed in range(5):
            play = Play(6, [2.0, 2.0, 4.0], 60.0, seed=seed, during=split)
            self._check(play)

    def test_a_router_out_of_touch_keeps_a_part(self) -> None:
        """Guards against callers that are refused by a router without its peers."""

        async def isolate(world: LimitWorld) -> None:
            world.network.groups["vm-0"] = 1

        play = Play(
            4,
            [4.0, 4.0],
            40.0,
            duration_s=15.0,
            weights=[1.0, 0.0, 0.0, 0.0],
            during=isolate,
        )
        world = self._check(play)
        self.assertGreater(play.used_share(world), 0.1)


class CallerTests(unittest.TestCase):
    """What callers get while all targets limit their requests."""

    def test_refused_callers_do_not_wait_for_their_deadlines(self) -> None:
        """Guards against a queue for permits that other requests will use."""
        world = Play(4, [2.0, 2.0, 2.0], 50.0).run()
        self.assertGreater(world.outcomes["target_limit"], 100)
        self.assertEqual(set(world.outcomes), {"ok", "target_limit"})
        self.assertLess(world.longest_refusal_s, 0.6 * world.deadline_s)

    def test_refused_callers_do_not_retry_all_at_once(self) -> None:
        """Guards against one time to retry for all, at which few can be served."""
        world = Play(4, [2.0, 2.0, 2.0], 50.0).run()
        for tenth in range(60):
            together = [
                retry_s
                for retry_s in world.retries_s
                if tenth / 10 <= retry_s < (tenth + 1) / 10
            ]
            self.assertLess(len(together), 0.2 * len(world.retries_s))

    def test_a_target_without_its_limit_is_used_again_within_two_seconds(self) -> None:
        """Guards against a limit that no router finds to have ended."""

        async def end_limit(world: LimitWorld) -> None:
            await anyio.sleep(5.0)
            world.targets[0].limit_per_s = None

        for routers in (5, 26):
            play = Play(routers, [1.0, None, None], 60.0, 12.0, during=end_limit)
            play.answer_s = 0.2
            world = play.run()
            ended_s = play.from_s - CONTACT_S + 5.0
            counts = [
                sum(at_s >= ended_s + 2.0 for at_s in target.arrivals_s)
                for target in world.targets
            ]
            self.assertGreater(counts[0], 0.5 * min(counts[1:]))


class ScheduleTests(unittest.TestCase):
    """Assignment of sends to points in time."""

    def test_an_idle_period_does_not_add_up(self) -> None:
        """Guards against a burst after a time in which no router asked."""
        schedule = SendSchedule(0.0)
        self.assertLessEqual(schedule.assign(2.0, 100, 50.0).sends, 2)

    def test_permits_expire(self) -> None:
        """Guards against old permits that are all used in one second."""
        permits = SendPermits()
        permits.receive(Permits(2, 0.0, 0.5, 1.0), 0.0)
        self.assertFalse(permits.consume(2.0))
        permits.receive(Permits(2, 0.0, 0.5, 1.0), 3.0)
        self.assertTrue(permits.consume(3.1))
        self.assertFalse(permits.consume(3.1))
        self.assertTrue(permits.consume(3.6))

    def test_many_routers_do_not_all_ask_again_soon(self) -> None:
        """Guards against queries to one router that grow with the fleet."""
        schedule = SendSchedule(0.0)
        waiting_s = [0.0] * 300
        asked = 0
        for tenth in range(50):
            now_s = tenth * 0.1
            for router, retry_s in enumerate(waiting_s):
                if retry_s <= now_s:
                    asked += now_s > 0.0
                    permits = schedule.assign(2.0, 1, now_s)
                    waiting_s[router] = now_s + permits.retry_in_s
        self.assertLess(asked / 5.0, 30.0)

    def test_the_lower_of_two_limits_applies(self) -> None:
        """Guards against a router that still believes in a higher limit."""
        schedule = SendSchedule(0.0)
        self.assertEqual(schedule.lower_rate(2.0, 0.0), 2.0)
        self.assertEqual(schedule.lower_rate(1.0, 0.1), 1.0)
        self.assertEqual(schedule.lower_rate(2.0, 0.2), 1.0)
        self.assertEqual(schedule.lower_rate(2.0, 5.0), 2.0)


class BeliefTests(unittest.TestCase):
    """Which of several statements about a limit is the newest."""

    def setUp(self) -> None:
        self.limits = TargetLimits(lambda: 0.0)

    def rate(self, now_s: float) -> float | None:
        """Return the limit that applies."""
        applied = self.limits.applied(START, now_s)
        return applied.rate_per_s if applied is not None else None

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """Guards against answers that overtake each other."""
        self.limits.on_answer(START, 1.0, 1.0, 2.0)
        self.assertIsNone(self.limits.on_answer(START, None, 1.9, 2.1))
        self.assertEqual(self.rate(2.1), 1.0)
        self.assertIsNotNone(self.limits.on_answer(START, None, 2.05, 2.2))
        self.assertIsNone(self.rate(2.2))

    def test_an_answer_to_an_earlier_request_does_not_raise_a_limit(self) -> None:
        """Guards against the higher of two values that were stated at one time."""
        self.limits.on_answer(START, 1.0, 1.0, 2.0)
        self.assertIsNone(self.limits.on_answer(START, 3.0, 1.5, 2.1))
        self.assertEqual(self.rate(2.1), 1.0)
        self.limits.on_answer(START, 0.5, 1.5, 2.2)
        self.assertEqual(self.rate(2.2), 0.5)
        self.limits.on_answer(START, 3.0, 2.3, 2.4)
        self.assertEqual(self.rate(2.4), 3.0)

    def test_a_late_report_does_not_bring_a_limit_back(self) -> None:
        """Guards against datagrams about a limit that circulate after its end."""
        named = self.limits.on_answer(START, 1.0, 1.0, 2.0)
        assert named is not None
        ended = self.limits.on_answer(START, None, 3.0, 3.1)
        assert ended is not None
        self.assertFalse(self.limits.on_report(named, 3.2))
        self.assertIsNone(self.rate(3.2))
        other = TargetLimits(lambda: 0.0)
        self.assertTrue(other.on_report(ended, 3.3))
        self.assertFalse(other.on_report(named, 3.4))

    def test_routers_that_saw_different_limits_agree_on_the_lower_one(self) -> None:
        """Guards against routers that overwrite each other's limit forever."""
        low, high = LimitReport(START, 1.0, 1), LimitReport(START, 2.0, 1)
        ended = LimitReport(START, None, 1)
        for reports in ((low, high, ended), (ended, high, low), (high, low, ended)):
            limits = TargetLimits(lambda: 0.0)
            for report in reports:
                limits.on_report(report, 1.0)
            applied = limits.applied(START, 1.0)
            assert applied is not None
            self.assertEqual(applied.rate_per_s, 1.0)

    def test_a_new_start_of_a_target_has_no_limit(self) -> None:
        """Guards against a limit that outlasts the process that stated it."""
        self.limits.on_answer(START, 1.0, 1.0, 2.0)
        restarted = TargetStart(START.instance_id, 2)
        self.assertIsNone(self.limits.applied(restarted, 2.0))
        self.limits.retain({restarted})
        self.assertIsNone(self.rate(2.0))


class DecodingTests(unittest.TestCase):
    """Limits in answers and in datagrams."""

    def test_limits_in_answers_are_read(self) -> None:
        """Guards against values that would bar a target or end its limit."""
        wire = PlatformWire()
        for values, limit_per_s, unreadable in (
            ([b"1.1"], 1.1, False),
            ([b" 2 "], 2.0, False),
            ([b"0"], 0.1, False),
            ([b"1.5", b"0.5"], 0.5, False),
            ([b"soon", b"2"], 2.0, False),
            ([], None, False),
            ([b""], None, True),
            ([b"-1"], None, True),
            ([b"nan"], None, True),
            ([b"inf"], None, True),
            ([b"1e400"], None, True),
            ([b"9" * 1000], None, True),
            ([b"two"], None, True),
        ):
            fields = [(b"server-limit", value) for value in values]
            metadata = wire.read_answer_fields(200, fields)
            self.assertEqual(metadata.limit_per_s, limit_per_s, values)
            self.assertEqual(metadata.limit_unreadable, unreadable, values)

    def test_the_limit_of_another_instance_is_ignored(self) -> None:
        """Guards against a limit of a target that took over the address."""
        fields = [(b"server-limit", b"1")]
        self.assertIsNone(PlatformWire().read_answer_fields(421, fields).limit_per_s)

    def test_datagrams_about_limits_survive_their_encoding(self) -> None:
        """Guards against messages that other routers cannot read."""
        name = InstanceId("vm-0-1")
        for message in (
            PermitQuery(name, START, 7, 1.5, 3),
            PermitResponse(name, 7, Permits(2, 0.1, 0.5, 0.75)),
            BroadcastMessage(name, LimitReport(START, 1.5, 2)),
            BroadcastMessage(name, LimitReport(START, None, 3)),
        ):
            self.assertEqual(decode(encode(message)), message)

    def test_malformed_datagrams_are_ignored(self) -> None:
        """Guards against a datagram that ends a router's process."""
        for data in (
            b'["permit","a",["t",1],1,0,1]',
            b'["permit","a",["t",1],1,"nan",1]',
            b'["limit","a",["t",1],-1,1]',
            b'["limit","a",["t",1],1e999,1]',
            b'["permitted","a",1,2]',
        ):
            self.assertIsNone(decode(data), data)


if __name__ == "__main__":
    unittest.main()
