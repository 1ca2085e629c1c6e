"""Rows, witnesses and losses of routers in random order, without time or sockets."""

from __future__ import annotations

import os
import random
import unittest

from attrs import define, evolve, field

from endivegw.allowances import AllowanceLedger, AllowanceOptions, Reservation
from endivegw.allowances.rows import HolderRow, PlannedWrite
from endivegw.allowances.succession import max_used_tokens
from endivegw.allowances.witness_reports import witness_report
from endivegw.allowances.witnesses import Statement
from endivegw.types import ClientAccountName, InstanceId

ACCOUNT = ClientAccountName("airline")
PREPAID = 100_000
OPTIONS = AllowanceOptions()

#: Largest share of a budget lost with a router, beyond its requests in progress.
MAX_LOST_SHARE = 0.01

#: Seeds of the random orders: some hundred in CI, ten thousand by hand.
SEEDS = int(os.environ.get("ENDIVEGW_WITNESS_SEEDS", "400"))

#: Steps until a router is lost; a step takes up to 120 ms.
STEPS = 80


@define
class Peer:
    """A process that receives statements, on a vm that it may restart on."""

    instance_id: InstanceId
    received: Statement = Statement(0, 0.0)
    is_reachable: bool = True
    is_store_away: bool = False

    def receive(self, statement: Statement) -> bool:
        """Retain a statement; return whether this process waives."""
        waived_ms = self.received.waived_ms
        if self.is_store_away:
            waived_ms = max(waived_ms, float(int(statement.clock_ms)))
        self.received = evolve(statement, waived_ms=waived_ms)
        return self.is_store_away


@define
class World:
    """One router, the routers that can be its witnesses, and its row in the store.

    :ivar rows: rows that a reader may find, a late write among them.
    """

    rng: random.Random
    peers: list[Peer]
    router: AllowanceLedger = field(init=False)
    rows: list[HolderRow] = field(factory=list)
    now_ms: float = 1000.0
    is_store_away: bool = False
    _sequence: int = 0
    _processes: int = 0
    _unanswered: PlannedWrite | None = None

    def __attrs_post_init__(self) -> None:
        self.router = AllowanceLedger(InstanceId("lost"))
        self.router.set_prepaid({ACCOUNT: PREPAID})
        self.write()

    def write(self) -> None:
        """Write the row; the store may be away, or its answer may be lost."""
        router = self.router
        names = tuple(peer.instance_id for peer in self.peers if peer.is_reachable)
        planned = self._unanswered or router.plan_write(
            self.now_ms, self.now_ms / 1000.0, 1, names
        )
        if self.is_store_away:
            self._unanswered = planned
            # It may be in transit, and take effect after the router was lost.
            self.rows = [self.rows[0], planned.row]
            return
        self._unanswered = None
        router.commit(planned, 1)
        self.rows = [planned.row]

    def send(self) -> None:
        """Send a statement; each datagram may be lost, either way."""
        self._sequence += 1
        statement = self.router.next_statement(
            self._sequence, self.now_ms, self.now_ms / 1000.0
        )
        witnesses = self.router.witnesses
        named = {name.split("-")[0]: name for name in witnesses.named()}
        for peer in self.peers:
            vm = peer.instance_id.split("-")[0]
            if vm not in named or not peer.is_reachable or self.rng.random() < 0.1:
                continue
            waives = peer.receive(statement)
            if waives and self.rng.random() >= 0.1:
                witnesses.record_waiver(peer.instance_id, statement.sequence)
            if self.rng.random() < 0.1:
                continue
            witnesses.acknowledge(peer.instance_id, statement.sequence)
            if named[vm] != peer.instance_id:
                witnesses.record_replacement(named[vm], statement.sequence)

    def restart(self, peer: Peer) -> None:
        """Replace a peer's process; the new one knows nothing."""
        self._processes += 1
        vm = peer.instance_id.split("-")[0]
        peer.instance_id = InstanceId(f"{vm}-{self._processes}")
        peer.received = Statement(0, 0.0)

    def step(self) -> None:
        """Do one of what may happen to a router and those around it."""
        rng, router = self.rng, self.router
        self.now_ms += rng.random() * 120
        peer = rng.choice(self.peers)
        match rng.randrange(22):
            case 20:
                peer.is_store_away = not peer.is_store_away
            case 21:
                self.is_store_away = not self.is_store_away
                for peer in self.peers:
                    peer.is_store_away = self.is_store_away
            case 0:
                peer.is_reachable = not peer.is_reachable
            case 1:
                self.restart(peer)
            case 2:
                self.is_store_away = not self.is_store_away
            case 3 if router.of(ACCOUNT).hand_tokens > 4000:
                router.lend(ACCOUNT, 500, 2000, self.now_ms)
            case 4:
                router.borrow(ACCOUNT, rng.randrange(1, 3000))
            case 5 | 6 | 7 | 8:
                self.write()
            case 9 | 10 | 11 | 12:
                self.send()
            case _:
                tokens = rng.randrange(1, 1500)
                router.wanted_tokens[ACCOUNT] = rng.choice((0, 0, tokens))
                reserved = router.reserve(ACCOUNT, tokens, self.now_ms)
                if isinstance(reserved, Reservation):
                    router.of(ACCOUNT).record_demand(tokens, self.now_ms / 1000, 8.0)
                    if rng.random() < 0.8:
                        router.settle(reserved, rng.randrange(0, tokens + 1))

    def counted_tokens(self, survivors: list[Peer]) -> list[int]:
        """Return what a reader counts as used, for each row that it may find."""
        received = {peer.instance_id: peer.received for peer in survivors}
        counted = []
        for row in self.rows:
            answers = {
                name: received[name] for name in row.witnesses if name in received
            }
            expires_ms = row.terms[ACCOUNT].as_of_ms + OPTIONS.validity_s * 1000
            ended_ms = max(self.now_ms, expires_ms)
            report = witness_report(
                row.witnesses, answers, ended_ms, row.needed, row.as_of_ms
            )
            counted.append(max_used_tokens(row, report, OPTIONS.growth)[ACCOUNT])
        return counted


class RandomOrderTests(unittest.TestCase):
    """A router is lost, and some of its witnesses with it."""

    # Guards against tokens that are returned to a budget although they were used.
    def test_no_use_is_missed_whoever_survives(self) -> None:
        """Cuts, restarts, outages, lost answers and late writes in random order."""
        for seed in range(SEEDS):
            rng = random.Random(seed)
            count = rng.randrange(1, 7)
            world = World(rng, [Peer(InstanceId(f"{n}-0")) for n in range(count)])
            for _ in range(rng.randrange(1, STEPS)):
                world.step()
            survivors = [peer for peer in world.peers if rng.random() < 0.5]
            used_tokens = world.router.of(ACCOUNT).used_tokens
            with self.subTest(seed=seed):
                self.assertGreaterEqual(
                    min(world.counted_tokens(survivors)), used_tokens
                )

    # Guards against tokens that are lost because one survivor does not suffice.
    def test_one_survivor_of_three_witnesses_knows_the_use(self) -> None:
        """The store answers until three of four routers are lost at once."""
        for seed in range(SEEDS // 4):
            rng = random.Random(seed)
            world = World(rng, [Peer(InstanceId(f"{n}-0")) for n in range(3)])
            for _ in range(40):
                world.now_ms += 50.0
                world.send()
                world.write()
                reserved = world.router.reserve(ACCOUNT, 100, world.now_ms)
                if isinstance(reserved, Reservation):
                    world.router.settle(reserved, 100)
            survivor = rng.choice(world.peers)
            used_tokens = world.router.of(ACCOUNT).used_tokens
            lost_tokens = max(world.counted_tokens([survivor])) - used_tokens
            with self.subTest(seed=seed):
                self.assertLessEqual(lost_tokens, PREPAID * MAX_LOST_SHARE)


if __name__ == "__main__":
    unittest.main()
