"""Prepaid budgets of routers: tokens held and available, and losses after a kill."""

from __future__ import annotations

import math
import random
import unittest

from endivegw.allowances import (
    AllowanceLedger,
    AllowanceOptions,
    Reservation,
    Shortage,
    Terms,
)
from endivegw.allowances.rows import (
    BudgetTotal,
    HolderRow,
    RowError,
    decode_holder,
    encode_holder,
)
from endivegw.allowances.store_clock import StoreClock
from endivegw.allowances.succession import max_used_tokens
from endivegw.allowances.witness_reports import WitnessReport, witness_report
from endivegw.allowances.witnesses import GRACE_MS, WAIVER_MS, Statement, Witnesses
from endivegw.types import ClientAccountName, InstanceId

ACCOUNT = ClientAccountName("airline")
PREPAID = 100_000
B, C, D = (InstanceId(name) for name in "bcd")


def send(witnesses: Witnesses, sequence: int, clock_ms: float, limit: int) -> None:
    """Record a statement of one limit as sent to the witnesses."""
    witnesses.record_sent(Statement(sequence, clock_ms, {ACCOUNT: limit}))


def ledger(name: str, prepaid: int = PREPAID) -> AllowanceLedger:
    """Return a router's ledger with one account."""
    created = AllowanceLedger(InstanceId(name))
    created.set_prepaid({ACCOUNT: prepaid})
    return created


def write(
    of: AllowanceLedger,
    store_ms: float,
    routers: int = 1,
    witnesses: tuple[InstanceId, ...] = (),
) -> HolderRow:
    """Perform one write of a router that the store answers."""
    planned = of.plan_write(store_ms, store_ms / 1000.0, routers, witnesses)
    of.commit(planned, revision=1)
    return planned.row


class ReserveTests(unittest.TestCase):
    """Reservations within the tokens held and the limit of the row."""

    def test_held_tokens_need_a_recorded_limit(self) -> None:
        """A router that holds tokens needs one write before it may use them."""
        router = ledger("a")
        write(router, 1000.0)
        self.assertIs(router.reserve(ACCOUNT, 900, 1000.0), Shortage.LIMIT)
        router.wanted_tokens[ACCOUNT] = 900
        write(router, 1010.0)
        self.assertIsInstance(router.reserve(ACCOUNT, 900, 1010.0), Reservation)

    def test_request_larger_than_held_tokens_lacks_tokens(self) -> None:
        """A request larger than the router's held tokens needs a loan or a draw."""
        router = ledger("a")
        write(router, 1000.0, routers=4)
        self.assertIs(router.reserve(ACCOUNT, 30_000, 1000.0), Shortage.TOKENS)

    def test_settling_twice_releases_once(self) -> None:
        """A request that ends twice, by its answer and by a disconnect, counts once."""
        router = ledger("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        reservation = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(reservation, Reservation)
        router.settle(reservation, 400)
        router.settle(reservation, 400)
        funds = router.of(ACCOUNT)
        self.assertEqual((funds.reserved_tokens, funds.settled_tokens), (0, 400))

    def test_request_ends_after_its_tokens_were_taken_over(self) -> None:
        """A router starts over with another row while requests are in progress.

        Their tokens were counted under the previous row. Released under the new one,
        they would count as tokens that were never drawn, and could be spent twice.
        """
        router = ledger("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        reservation = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(reservation, Reservation)
        router.funds.clear()
        router.settle(reservation, 400)
        self.assertEqual(router.of(ACCOUNT).used_tokens, 0)

    def test_unanswered_write_applies_both_limits(self) -> None:
        """The store's answer to a write is lost.

        It is unknown whether the row contains the lower or the higher limit, and a
        successor may read either. Use beyond either limit would be charged to nobody.
        """
        router = ledger("a")
        router.wanted_tokens[ACCOUNT] = 5000
        write(router, 1000.0)
        router.wanted_tokens[ACCOUNT] = 100
        router.plan_write(1100.0, 1.1, 1)
        self.assertIs(router.reserve(ACCOUNT, 3000, 1100.0), Shortage.LIMIT)
        router.roll_back()
        self.assertIsInstance(router.reserve(ACCOUNT, 3000, 1100.0), Reservation)

    def test_lowered_budget_is_returned(self) -> None:
        """An operator lowers a budget below what routers drew.

        Tokens left at a router would be spent although the account has paid for fewer.
        """
        router = ledger("a")
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 20_000})
        planned = router.plan_write(1100.0, 1.1, 1)
        self.assertEqual(planned.budgets[ACCOUNT], 20_000)
        router.commit(planned, 2)
        self.assertEqual(router.of(ACCOUNT).hand_tokens, 20_000)

    def test_orderly_stop_returns_all_tokens(self) -> None:
        """A router that stops leaves a row with exactly what was consumed."""
        router = ledger("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        reservation = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(reservation, Reservation)
        router.settle(reservation, 700)
        router.return_all()
        row = write(router, 1100.0)
        self.assertEqual(row.terms[ACCOUNT], Terms(700, 700, 0, 1100))
        self.assertEqual(router.totals[ACCOUNT].drawn_tokens, 700)


class DrawTests(unittest.TestCase):
    """A budget is topped up, and thirty routers draw on it at once."""

    def test_limits_advance_while_draws_are_suspended(self) -> None:
        """A router's write fails whenever another router draws first.

        The same write carries the limits. Until it succeeds, callers are refused
        although their tokens are held; a write without draws cannot conflict.
        """
        router = ledger("a", prepaid=10_000)
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 50_000})
        router.wanted_tokens[ACCOUNT] = 900
        without_draws = router.plan_write(1010.0, 1.01, 1, draws=False)
        self.assertEqual(without_draws.budgets, {})
        self.assertGreaterEqual(without_draws.row.terms[ACCOUNT].limit_tokens, 900)
        router.commit(without_draws, revision=2)
        self.assertEqual(write(router, 1100.0).terms[ACCOUNT].drawn_tokens, 50_000)

    def test_excess_is_returned_while_draws_are_suspended(self) -> None:
        """An operator lowers a budget while a router's draws are suspended."""
        router = ledger("a")
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 20_000})
        planned = router.plan_write(1100.0, 1.1, 1, draws=False)
        self.assertEqual(planned.budgets[ACCOUNT], 20_000)


class ScarcityTests(unittest.TestCase):
    """Callers of a nearly exhausted account request more than is left."""

    def test_unavailable_tokens_do_not_raise_the_limit(self) -> None:
        """A router holds 3,000 tokens, and a request for 12,000 waits for more.

        A limit that covered the request would be ahead by all that is left. If all
        routers are then killed, each successor counts that as used, and small requests
        that the budget still covers are refused from then on.
        """
        router = ledger("a", prepaid=3000)
        write(router, 1000.0)
        router.wanted_tokens[ACCOUNT] = 12_000
        self.assertEqual(write(router, 1100.0).terms[ACCOUNT].limit_tokens, 0)
        self.assertEqual(router.next_statement(1, 1100.0, 1.1).limits[ACCOUNT], 0)

    def test_time_until_the_limit_covers_a_request(self) -> None:
        """Without the store, a limit covers a long prompt only after some seconds.

        A caller that retries at once finds the limit too small again and gives up.
        """
        router = ledger("a")
        router.of(ACCOUNT).record_demand(3000, 0.9, 8.0)
        write(router, 1000.0)
        pace = router.of(ACCOUNT).confirmed.growth_tokens_per_s
        self.assertGreater(pace, 1000)
        early_s = router.covered_in_s(ACCOUNT, 100, 1000.0)
        late_s = router.covered_in_s(ACCOUNT, 2 * pace, 1000.0)
        assert early_s is not None and late_s is not None
        self.assertLess(early_s, 0.5)
        self.assertGreater(late_s, 1.5)
        store_ms = 1000.0 + late_s * 1000.0
        self.assertIsInstance(router.reserve(ACCOUNT, 2 * pace, store_ms), Reservation)
        self.assertIsNone(router.covered_in_s(ACCOUNT, PREPAID + 1, 1000.0))


class SuccessorTests(unittest.TestCase):
    """A successor counts at least what a dead process may have used."""

    def test_killed_router_causes_no_overspending(self) -> None:
        """A router is killed while it cannot reach the store.

        It continued to use what its row allowed. If its successor, which knows nothing
        of that use, handed out the same tokens again, the account would consume more
        than it paid for.
        """
        rng = random.Random(7)
        for _ in range(200):
            router = ledger("old")
            router.of(ACCOUNT).record_demand(rng.randrange(1, 20_000), 0.9, 8.0)
            row = write(router, 1000.0)
            now_ms = 1000.0
            for _ in range(rng.randrange(1, 40)):
                now_ms += rng.random() * 400
                reservation = router.reserve(ACCOUNT, rng.randrange(1, 3000), now_ms)
                if isinstance(reservation, Reservation) and rng.random() < 0.7:
                    router.settle(reservation, rng.randrange(0, reservation.tokens + 1))
            successor = ledger("new")
            charged = successor.succeed(
                row, WitnessReport(now_ms + rng.random() * 3000)
            )
            self.assertGreaterEqual(charged[ACCOUNT], router.of(ACCOUNT).used_tokens)

    def test_unreadable_row_is_rejected(self) -> None:
        """A row that another program wrote raises :exc:`RowError`."""
        row = HolderRow(InstanceId("a"), 3, {ACCOUNT: Terms(5, 4, 3, 2)}, (B,), True)
        self.assertEqual(decode_holder(encode_holder(row)), row)
        for value in (b"", b"[]", b"{}", b'{"as_of_ms": "x"}'):
            with self.assertRaises(RowError):
                decode_holder(value)


class LoanTests(unittest.TestCase):
    """Loans between routers create no tokens."""

    def test_random_loans_kills_and_lost_writes_never_overspend(self) -> None:
        """Routers lend, lose messages and writes, and are killed, many times.

        Whatever is lost, the consumed tokens stay within the budget; otherwise a caller
        would use tokens that its account did not pay for.
        """
        for seed in range(60):
            self._simulate(random.Random(seed))

    def test_isolated_router_lends_tokens_it_does_not_need(self) -> None:
        """All routers lose the store; an account's callers use mostly one router.

        Its peers hold most of the account's tokens and have no callers for them. If
        their limits did not grow, these callers would be refused.
        """
        router = ledger("a")
        write(router, 1000.0)
        write(router, 1150.0)
        self.assertEqual(router.lend(ACCOUNT, 500, 50_000, 1150.0), 0)
        lent = router.lend(ACCOUNT, 4000, 50_000, 4150.0)
        self.assertGreaterEqual(lent, 4000)
        self.assertLessEqual(lent, PREPAID * 0.1)

    def _simulate(self, rng: random.Random) -> None:
        total = BudgetTotal()
        names = ["a", "b", "c"]
        ledgers = {name: ledger(name) for name in names}
        rows: dict[str, HolderRow] = {}
        consumed = 0
        now_ms = 1000.0
        for step in range(300):
            now_ms += rng.random() * 300
            name = rng.choice(names)
            router = ledgers[name]
            action = rng.random()
            if action < 0.4:
                reservation = router.reserve(ACCOUNT, rng.randrange(1, 2500), now_ms)
                if isinstance(reservation, Reservation):
                    used = rng.randrange(0, reservation.tokens + 1)
                    consumed += used
                    router.settle(reservation, used)
            elif action < 0.6:
                is_lost = rng.random() < 0.2
                tokens = router.lend(ACCOUNT, 500, rng.randrange(500, 9000), now_ms)
                if tokens and not is_lost:
                    borrower = rng.choice([key for key in names if key != name])
                    ledgers[borrower].borrow(ACCOUNT, tokens)
            elif action < 0.95:
                router.totals[ACCOUNT] = total
                router.wanted_tokens[ACCOUNT] = rng.randrange(0, 4000)
                planned = router.plan_write(now_ms, now_ms / 1000.0, 3)
                if rng.random() < 0.85:
                    router.commit(planned, step)
                    rows[name] = planned.row
                    if ACCOUNT in planned.budgets:
                        total = BudgetTotal(planned.budgets[ACCOUNT], step)
                else:
                    router.roll_back()
            elif name in rows:
                ledgers[name] = ledger(name)
                ledgers[name].succeed(rows[name], WitnessReport(now_ms))
            self.assertLessEqual(consumed, PREPAID)
            self.assertLessEqual(total.drawn_tokens, PREPAID)


class WitnessTests(unittest.TestCase):
    """Witnesses bound what a killed router may have used."""

    def test_limits_grow_only_while_a_majority_acknowledges(self) -> None:
        """A router reaches neither the store nor its witnesses.

        Its limits stop growing, so that a successor can rely at any later time on the
        last statement that the witnesses received.
        """
        witnesses = Witnesses(confirmed=(B, C))
        send(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        self.assertEqual(witnesses.growth_until_ms(2100.0), GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), -math.inf)
        witnesses.acknowledge(C, 1)
        self.assertEqual(witnesses.growth_until_ms(2100.0), 2100.0)
        self.assertEqual(witnesses.growth_until_ms(9000.0), 2000.0 + GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)
        send(witnesses, 2, 8000.0, 900)
        witnesses.acknowledge(InstanceId("stranger"), 2)
        self.assertEqual(witnesses.growth_until_ms(9000.0), 2000.0 + GRACE_MS)

    # Guards against a use that the only survivor of a loss of routers does not know.
    def test_all_of_three_witnesses_must_acknowledge(self) -> None:
        """A router uses nothing that one of its three witnesses may not know."""
        witnesses = Witnesses(confirmed=(B, C, D))
        send(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.acknowledge(C, 1)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), -math.inf)
        witnesses.acknowledge(D, 1)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)

    # Guards against limits that wait for a witness whose process has ended.
    def test_a_restarted_witness_is_not_waited_for(self) -> None:
        """A witness restarts in an outage, so that no row can name its new process."""
        witnesses = Witnesses(confirmed=(B, C))
        witnesses.select((B, C), 1900.0)
        send(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.acknowledge(C, 1)
        send(witnesses, 2, 3000.0, 900)
        witnesses.acknowledge(B, 2)
        witnesses.record_replacement(C, 2)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 900)
        self.assertEqual(witnesses.growth_until_ms(3100.0), 3100.0)

    # Guards against limits that wait for a dark machine until the store answers.
    def test_a_witness_that_waived_is_not_waited_for(self) -> None:
        """A majority suffices then, until the next row."""
        witnesses = Witnesses()
        witnesses.plan((B, C, D), False, 2000.0)
        witnesses.commit()
        send(witnesses, 1, 2100.0, 700)
        for name in (B, C, D):
            witnesses.acknowledge(name, 1)
        witnesses.record_waiver(D, 1)
        send(witnesses, 2, 3000.0, 900)
        witnesses.acknowledge(B, 2)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)
        witnesses.acknowledge(C, 2)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 900)
        self.assertEqual(witnesses.growth_until_ms(3100.0), 3100.0)
        send(witnesses, 3, 9000.0, 900)
        for name in (B, C):
            witnesses.acknowledge(name, 3)
        self.assertEqual(witnesses.growth_until_ms(9000.0), 2100.0 + WAIVER_MS)
        witnesses.plan((B, C, D), False, 9000.0)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)

    # Guards against tokens counted as unused on the word of a witness that waived.
    def test_a_witness_that_waived_does_not_suffice_alone(self) -> None:
        """Two witnesses waived after the row was written, one of them before it."""
        waived = Statement(1, 2100.0, {ACCOUNT: 700}, waived_ms=2100.0)
        current = Statement(2, 3000.0, {ACCOUNT: 900}, waived_ms=1900.0)
        three = (B, C, D)
        for received, used in (
            ({B: waived}, 5000),
            ({B: waived, C: waived}, 700),
            ({C: current}, 900),
            ({B: waived, C: current}, 900),
        ):
            with self.subTest(received=received):
                report = witness_report(three, received, 9000.0, 3, 2000.0)
                self.assertEqual(report.used_tokens(ACCOUNT, 500, 5000), used)

    # Guards against a living witness that counts as ended because of a late datagram.
    def test_a_late_acknowledgement_does_not_end_a_witness(self) -> None:
        """The predecessor's acknowledgement arrives after its successor is named."""
        witnesses = Witnesses(confirmed=(B, C))
        for sequence in (3, 4):
            send(witnesses, sequence, 2000.0, 700)
        witnesses.select((B, C), 2000.0)
        witnesses.acknowledge(B, 4)
        witnesses.acknowledge(C, 3)
        witnesses.record_replacement(C, 4)
        send(witnesses, 5, 3000.0, 900)
        witnesses.acknowledge(B, 5)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)
        witnesses.record_replacement(C, 5)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 900)

    # Guards against limits that wait for a witness that the store could replace.
    def test_a_silent_witness_is_left_out_of_the_next_row(self) -> None:
        """It is named again once it acknowledges statements."""
        witnesses = Witnesses(confirmed=(B, C))
        send(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.acknowledge(C, 1)
        self.assertEqual(witnesses.select((B, C), 2100.0), (B, C))
        send(witnesses, 2, 2600.0, 900)
        witnesses.acknowledge(B, 2)
        self.assertEqual(witnesses.select((B, C), 2600.0), (B,))
        witnesses.plan((B,), False)
        witnesses.commit()
        self.assertIn(C, witnesses.named())
        witnesses.acknowledge(C, 2)
        self.assertEqual(witnesses.select((B, C), 2700.0), (B, C))
        self.assertEqual(witnesses.select((B, C), 9000.0), (B, C))

    # Guards against an old statement of a witness that a row names again.
    def test_a_statement_older_than_the_row_bounds_nothing(self) -> None:
        """What was used before the row was written is covered by its limit."""
        old = Statement(4, 1500.0, {ACCOUNT: 700})
        row = HolderRow(
            InstanceId("a"),
            9,
            {ACCOUNT: Terms(90_000, 5000, 400, 3000)},
            (B,),
            needed=1,
        )
        report = witness_report(row.witnesses, {B: old}, 9000.0, row.needed)
        used = max_used_tokens(row, report, AllowanceOptions().growth)
        self.assertEqual(used[ACCOUNT], 5000)

    # Guards against tokens that are returned although they were used in the part of a
    # millisecond that datagrams do not carry.
    def test_a_rounded_clock_hides_no_growth(self) -> None:
        """The router's limit grew until 1500.9 ms and the grace period after it."""
        growth = AllowanceOptions().growth
        terms = Terms(900_000, 0, 500_000, 1000)
        three = (B, C, D)
        row = HolderRow(InstanceId("a"), 9, {ACCOUNT: terms}, three, needed=3)
        for waived_ms, bound_ms in ((-math.inf, GRACE_MS), (1500.0, WAIVER_MS)):
            with self.subTest(waived_ms=waived_ms):
                received = {B: Statement(1, 1500.0, {}, waived_ms=waived_ms)}
                report = witness_report(three, received, 9000.0, 3, row.as_of_ms)
                used = max_used_tokens(row, report, growth)[ACCOUNT]
                permitted = terms.limit_at_tokens(1500.9 + bound_ms, growth)
                self.assertGreaterEqual(used, permitted)

    # Guards against requests that are refused until a dead witness is left out.
    def test_requests_are_served_when_a_witness_dies(self) -> None:
        """While the store answers, a row that holds outright replaces its word."""
        router = ledger("a")
        write(router, 1000.0, witnesses=(B, C))
        send(router.witnesses, 1, 1000.0, 0)
        router.witnesses.acknowledge(B, 1)
        router.witnesses.acknowledge(C, 1)
        write(router, 1010.0, witnesses=(B, C))
        router.wanted_tokens[ACCOUNT] = 900
        self.assertIs(router.reserve(ACCOUNT, 900, 1020.0), Shortage.LIMIT)
        write(router, 1020.0, witnesses=(B, C))
        self.assertIsInstance(router.reserve(ACCOUNT, 900, 1020.0), Reservation)

    def test_lower_statement_applies_before_it_is_acknowledged(self) -> None:
        """A router lowers its limit after a large request ended.

        It is not known yet whether a witness has the old statement or the new one. A
        successor may be given either, so the lower limit applies.
        """
        witnesses = Witnesses(confirmed=(B,))
        send(witnesses, 1, 2000.0, 900)
        witnesses.acknowledge(B, 1)
        send(witnesses, 2, 2100.0, 400)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 400)
        send(witnesses, 3, 2200.0, 800)
        witnesses.acknowledge(B, 3)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 800)

    def test_witnesses_of_a_pending_row_count(self) -> None:
        """A write without an answer may have named other witnesses."""
        witnesses = Witnesses(confirmed=(B,))
        send(witnesses, 1, 5000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.plan((C,), False)
        self.assertEqual(witnesses.growth_until_ms(5000.0), GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), -math.inf)
        witnesses.roll_back()
        self.assertEqual(witnesses.growth_until_ms(5000.0), 5000.0)

    def test_too_few_witnesses_leave_the_full_growth(self) -> None:
        """All routers are killed at once, and no witness has a statement.

        The successor must then assume that the dead router used all that its row
        allowed until the time at which it had certainly ended.
        """
        three = (B, C, InstanceId("d"))
        received = {B: Statement(4, 1500.0, {ACCOUNT: 700})}
        report = witness_report(three, received, 9000.0)
        self.assertEqual(report.alive_until_ms, 9000.0)
        self.assertEqual(report.used_tokens(ACCOUNT, 500, 3000), 3000)
        received[C] = Statement(3, 1400.0, {ACCOUNT: 650})
        report = witness_report(three, received, 9000.0)
        self.assertEqual(report.alive_until_ms, 1500.0 + GRACE_MS + 1.0)
        self.assertEqual(report.used_tokens(ACCOUNT, 500, 3000), 700)
        self.assertEqual(report.used_tokens(ACCOUNT, 800, 3000), 800)
        self.assertEqual(witness_report((), {}, 9000.0).alive_until_ms, 9000.0)

    def test_final_statement_replaces_a_lost_last_write(self) -> None:
        """A router stops while the store is slow, and its last write is lost.

        Its row still records what it might have used seconds earlier. One witness
        received its final use, which counts in place of the row.
        """
        last = Statement(9, 8000.0, {ACCOUNT: 420}, final=True)
        report = witness_report((B, C, InstanceId("d")), {C: last}, 9000.0)
        self.assertEqual(report.used_tokens(ACCOUNT, 500, 3000), 420)


class KillTests(unittest.TestCase):
    """What a killed router leaves to its successor, with and without witnesses."""

    def test_random_kills_with_witnesses_never_overspend(self) -> None:
        """A router loses the store and statements, and is killed at a random time.

        Its successor gets answers from some of the witnesses. The use that it counts is
        never less than what was consumed; otherwise an account would get the same
        tokens twice. On average it is not much more, either.
        """
        excess_tokens = 0
        for seed in range(300):
            excess_tokens += self._simulate(random.Random(seed))
        self.assertLess(excess_tokens / 300, PREPAID / 25)

    def _simulate(self, rng: random.Random) -> int:
        names = (B, C, InstanceId("d"))
        router = ledger("old")
        router.witnesses.confirmed = names
        received: dict[InstanceId, Statement] = {}
        row = write(router, 1000.0, witnesses=names)
        now_ms, sequence = 1000.0, 0
        for _ in range(rng.randrange(1, 60)):
            now_ms += rng.random() * 120
            router.of(ACCOUNT).record_demand(rng.randrange(1, 900), now_ms / 1000, 8.0)
            if rng.random() < 0.3:
                row = write(router, now_ms, witnesses=names)
            if rng.random() < 0.8:
                sequence += 1
                router.wanted_tokens[ACCOUNT] = rng.randrange(0, 1500)
                statement = router.next_statement(sequence, now_ms, now_ms / 1000)
                for name in names:
                    if rng.random() < 0.8:
                        received[name] = statement
                        if rng.random() < 0.8:
                            router.witnesses.acknowledge(name, sequence)
            reservation = router.reserve(ACCOUNT, rng.randrange(1, 1500), now_ms)
            if isinstance(reservation, Reservation) and rng.random() < 0.7:
                router.settle(reservation, rng.randrange(0, reservation.tokens + 1))
        answered = {
            name: received.get(name, Statement(0, 0.0))
            for name in names
            if rng.random() < 0.9
        }
        ended_ms = now_ms + rng.random() * 3000
        report = witness_report(names, answered, ended_ms, row.needed)
        used = ledger("new").succeed(row, report)[ACCOUNT]
        self.assertGreaterEqual(used, router.of(ACCOUNT).used_tokens)
        return used - router.of(ACCOUNT).used_tokens


class StoreClockTests(unittest.TestCase):
    """The estimate never runs ahead of the store's clock."""

    def test_estimate_stays_behind_the_store(self) -> None:
        """A router whose clock runs half a percent fast would spend too early."""
        clock = StoreClock()
        clock.update(50_000, 10.0)
        self.assertLess(clock.now_ms(11.005), 51_000)
        clock.update(50_100, 11.005)
        self.assertGreater(clock.now_ms(11.005), 50_900)
