"""Copies of cached prefixes between targets, with one or several routers."""

from __future__ import annotations

import random
import unittest

from attrs import define, field

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Placement,
    Policy,
    TargetView,
    WorkItem,
)
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
)

ZONE = AvailabilityZone("z")

#: Reading 5,000 tokens takes an engine of this kind 54 ms, copying them 1.3 ms.
READ_S_PER_TOKEN = 1 / 92_100
COPY_S_PER_TOKEN = 0.26e-6

#: Number and length of the prefixes that prompts share; the rest of each prompt is
#: unique.
PREFIXES = 60
SHARED_TOKENS = 5000
UNIQUE_TOKENS = 1500

TARGETS = [TargetName(f"t-{number}") for number in range(6)]


def view(name: str, copy_s_per_token: float | None = COPY_S_PER_TOKEN) -> TargetView:
    """Return a target that has capacity for all requests."""
    return TargetView(
        TargetName(name),
        InstanceId(name),
        f"10.0.0.{name[-1]}:80",
        ZONE,
        frozenset({"m"}),
        64,
        copy_s_per_token=copy_s_per_token,
    )


def item(number: int, prefix: int, now_s: float) -> WorkItem:
    """Return a request whose prompt shares its prefix with others."""
    return WorkItem(
        f"r-{number}",
        ClientAccountName("a"),
        Priority.NORMAL,
        1.0,
        "m",
        now_s + 15.0,
        SHARED_TOKENS + UNIQUE_TOKENS,
        100,
        now_s,
        prefix_digests=(b"b%d" % prefix, b"own%d" % number),
        prefix_tokens=(SHARED_TOKENS, SHARED_TOKENS + UNIQUE_TOKENS),
    )


@define
class Load:
    """Simulate routers at 40 requests per second over targets with actual caches.

    :ivar reported: whether routers report read prefixes to each other.
    :ivar reread_tokens: prefix tokens that a target read although another had them
        cached.
    """

    routers: list[Dispatcher]
    reported: bool
    caches: dict[TargetName, set[int]] = field(
        factory=lambda: {target: set() for target in TARGETS}
    )
    reread_tokens: int = 0
    busiest: int = 0

    def run(self, requests: int) -> None:
        """Run requests, each of which is read within a quarter of a second."""
        rng = random.Random(7)
        running: list[tuple[float, Dispatcher, Placement, int]] = []
        for number in range(requests):
            now_s = number / 40
            while running and running[0][0] <= now_s:
                self.end(*running.pop(0))
            prefix = rng.randrange(PREFIXES)
            router = rng.choice(self.routers)
            placed = router.submit(item(number, prefix, now_s), now_s)
            assert isinstance(placed, Placement)
            self.count(placed, prefix)
            running.append((now_s + 0.25, router, placed, prefix))
            if self.reported:
                self.exchange_prefixes(now_s)

    def count(self, placed: Placement, prefix: int) -> None:
        """Count the tokens that the target reads, by the caches' actual contents."""
        target = placed.target
        known = any(prefix in cache for cache in self.caches.values())
        source = [name for name in TARGETS if placed.copy_from == view(name).address]
        copied = bool(source) and prefix in self.caches[source[0]]
        if known and not copied and prefix not in self.caches[target]:
            self.reread_tokens += SHARED_TOKENS

    def end(
        self, now_s: float, router: Dispatcher, placed: Placement, prefix: int
    ) -> None:
        """Complete a request."""
        self.caches[placed.target].add(prefix)
        request_id = placed.item.request_id
        router.first_token(request_id, now_s)
        end = AttemptEnd(AttemptKind.OK, output_tokens=50)
        router.ended(request_id, placed.target, end, now_s)

    def exchange_prefixes(self, now_s: float) -> None:
        """Let each router report to the others what targets have read."""
        for router in self.routers:
            prefixes: dict[TargetName, list[bytes]] = {}
            for target, digest in router.pop_prefixes():
                prefixes.setdefault(target, []).append(digest)
            for other in self.routers:
                if other is not router:
                    other.record_remote_prefixes(prefixes, now_s)


def run_load(*, copies: bool, routers: int, reported: bool) -> Load:
    """Return a load after its run."""
    policy = Policy(
        choices=3, copies=copies, prefix_ttl_s=30.0, prior_prefill_tokens_per_s=92_100
    )
    fleet = [Dispatcher(policy, ZONE, random.Random(n)) for n in range(routers)]
    for router in fleet:
        router.set_targets([view(target) for target in TARGETS], 0.0)
    load = Load(fleet, reported)
    load.run(1200)
    return load


class CopyTests(unittest.TestCase):
    """60 prefixes of 5,000 tokens, 40 requests per second, six targets."""

    def test_cached_prefixes_are_copied_instead_of_read_again(self) -> None:
        """A prompt with a prefix cached elsewhere goes to a target with capacity.

        Reading the prefix again would delay all answers of that target by 54 ms.
        """
        without = run_load(copies=False, routers=1, reported=False)
        with_copies = run_load(copies=True, routers=1, reported=False)
        self.assertGreater(without.reread_tokens, 20 * SHARED_TOKENS)
        self.assertLess(with_copies.reread_tokens, without.reread_tokens / 4)

    def test_routers_report_read_prefixes_to_each_other(self) -> None:
        """Each of eight routers places only an eighth of the prompts itself.

        Without reports from the others, it takes most prefixes for unread and has them
        read again.
        """
        unreported = run_load(copies=True, routers=8, reported=False)
        reported = run_load(copies=True, routers=8, reported=True)
        self.assertGreater(unreported.reread_tokens, 100 * SHARED_TOKENS)
        self.assertLess(reported.reread_tokens, unreported.reread_tokens / 4)


class SourceTests(unittest.TestCase):
    """Choice of the target that a prefix is copied from."""

    def setUp(self) -> None:
        policy = Policy(choices=8, prior_prefill_tokens_per_s=92_100)
        self.dispatcher = Dispatcher(policy, ZONE, random.Random(1))
        self.number = 0

    def place(self, *excluded: str) -> Placement:
        """Place another prompt with the same prefix."""
        self.number += 1
        found = self.dispatcher.submit(
            WorkItem(
                f"r-{self.number}",
                ClientAccountName("a"),
                Priority.NORMAL,
                1.0,
                "m",
                15.0,
                SHARED_TOKENS + UNIQUE_TOKENS,
                100,
                1.0,
                prefix_digests=(b"b", b"own%d" % self.number),
                prefix_tokens=(SHARED_TOKENS, SHARED_TOKENS + UNIQUE_TOKENS),
                excluded=frozenset(TargetName(name) for name in excluded),
            ),
            1.0,
        )
        assert isinstance(found, Placement)
        return found

    def test_a_prompt_is_not_copied_before_it_was_read(self) -> None:
        """Two prompts with the same prefix arrive within a few milliseconds.

        The first target has nothing to copy yet, so a copy from it would only wait.
        """
        self.dispatcher.set_targets([view("t-1"), view("t-2"), view("t-3")], 0.0)
        first = self.place()
        second = self.place(first.target)
        self.assertIsNone(second.copy_from)
        self.dispatcher.first_token("r-1", 1.07)
        third = self.place(first.target, second.target)
        self.assertEqual(third.copy_from, first.address)
        self.assertEqual(third.figures.copied_tokens, SHARED_TOKENS)

    def test_removed_targets_are_not_used_as_sources(self) -> None:
        """A target that was removed is not used as a source.

        It may terminate before the copy, and the reading target would wait for it.
        """
        self.dispatcher.set_targets([view("t-1"), view("t-2"), view("t-3")], 0.0)
        prefixes = {TargetName("t-1"): [b"b"]}
        self.dispatcher.record_remote_prefixes(prefixes, 1.0)
        self.assertIsNotNone(self.place("t-1").copy_from)
        self.dispatcher.set_targets([view("t-2"), view("t-3")], 1.0)
        self.assertIsNone(self.place("t-1", "t-2").copy_from)

    def test_a_slow_link_is_not_used(self) -> None:
        """A prompt is read if copying it takes longer than reading it."""
        slow = READ_S_PER_TOKEN * 2
        self.dispatcher.set_targets([view("t-1", slow), view("t-2", slow)], 0.0)
        self.dispatcher.record_remote_prefixes({TargetName("t-1"): [b"b"]}, 1.0)
        self.assertIsNone(self.place("t-1").copy_from)

    def test_targets_that_cannot_copy_get_no_copies(self) -> None:
        """Nothing is copied if the configuration states no copy speed."""
        self.dispatcher.set_targets([view("t-1", None), view("t-2", None)], 0.0)
        self.dispatcher.record_remote_prefixes({TargetName("t-1"): [b"b"]}, 1.0)
        self.assertIsNone(self.place("t-1").copy_from)


class IdleTests(unittest.TestCase):
    """Several routers place requests at the same time on idle targets."""

    def test_routers_do_not_all_pick_the_same_idle_target(self) -> None:
        """Thirty routers each place one prompt before reports reach them.

        If equal targets were compared in a fixed order, all prompts would be placed on
        the first one, and short ones would wait half a second although other targets
        are idle.
        """
        placed = []
        for number in range(30):
            router = Dispatcher(Policy(choices=32), ZONE, random.Random(number))
            router.set_targets([view(target) for target in TARGETS], 0.0)
            found = router.submit(item(number, number, 1.0), 1.0)
            assert isinstance(found, Placement)
            placed.append(found.target)
        most = max(placed.count(target) for target in TARGETS)
        self.assertLessEqual(most, 10)
