"""Prepaid budgets of routers: what is held, what may be used, what a kill costs."""

from __future__ import annotations

import math
import random
import unittest

from endivegw.allowances import AllowanceBook, Reservation, Shortage, Terms
from endivegw.allowances.rows import (
    BudgetTotal,
    HolderRow,
    RowError,
    decode_holder,
    encode_holder,
)
from endivegw.allowances.store_clock import StoreClock
from endivegw.allowances.witnesses import GRACE_MS, Statement, Witnesses, Word, word_of
from endivegw.types import ClientAccountName, InstanceId

ACCOUNT = ClientAccountName("airline")
PREPAID = 100_000
B, C = InstanceId("b"), InstanceId("c")


def say(witnesses: Witnesses, sequence: int, clock_ms: float, limit: int) -> None:
    """State one limit to the witnesses."""
    witnesses.say(Statement(sequence, clock_ms, {ACCOUNT: limit}))


def book(name: str, prepaid: int = PREPAID) -> AllowanceBook:
    """Return a router's book with one account."""
    made = AllowanceBook(InstanceId(name))
    made.set_prepaid({ACCOUNT: prepaid})
    return made


def write(
    of: AllowanceBook,
    store_ms: float,
    routers: int = 1,
    witnesses: tuple[InstanceId, ...] = (),
) -> HolderRow:
    """Let a router write once, with the store answering."""
    planned = of.plan_write(store_ms, store_ms / 1000.0, routers, witnesses)
    of.commit(planned, revision=1)
    return planned.row


class ReserveTests(unittest.TestCase):
    """Reserve within what is held and what the row allows."""

    def test_limit_comes_before_tokens(self) -> None:
        """A router that holds tokens waits for one write before it uses them."""
        router = book("a")
        write(router, 1000.0)
        self.assertIs(router.reserve(ACCOUNT, 900, 1000.0), Shortage.LIMIT)
        router.wanted_tokens[ACCOUNT] = 900
        write(router, 1010.0)
        self.assertIsInstance(router.reserve(ACCOUNT, 900, 1010.0), Reservation)

    def test_more_than_held_is_short_of_tokens(self) -> None:
        """A request larger than the router's hand needs a peer or the budget."""
        router = book("a")
        write(router, 1000.0, routers=4)
        self.assertIs(router.reserve(ACCOUNT, 30_000, 1000.0), Shortage.TOKENS)

    def test_settling_twice_frees_once(self) -> None:
        """A request that ends twice, by answer and by a leaving caller, counts once."""
        router = book("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        held = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(held, Reservation)
        router.settle(held, 400)
        router.settle(held, 400)
        funds = router.of(ACCOUNT)
        self.assertEqual((funds.reserved_tokens, funds.settled_tokens), (0, 400))

    def test_a_request_ends_after_its_tokens_were_taken_over(self) -> None:
        """A router starts over with another row while requests are in progress.

        Their tokens were counted under the row before. Freed under the new one, they
        would count as tokens that were never drawn, and could be spent twice.
        """
        router = book("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        held = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(held, Reservation)
        router.funds.clear()
        router.settle(held, 400)
        self.assertEqual(router.of(ACCOUNT).used_tokens, 0)

    def test_a_write_without_an_answer_binds_both_ways(self) -> None:
        """The store's answer to a write is lost.

        Whether the lower limit or the higher one is in the row is not known, and a
        successor may read either. Using more than both allow would be charged to
        nobody.
        """
        router = book("a")
        router.wanted_tokens[ACCOUNT] = 5000
        write(router, 1000.0)
        router.wanted_tokens[ACCOUNT] = 100
        router.plan_write(1100.0, 1.1, 1)
        self.assertIs(router.reserve(ACCOUNT, 3000, 1100.0), Shortage.LIMIT)
        router.void()
        self.assertIsInstance(router.reserve(ACCOUNT, 3000, 1100.0), Reservation)

    def test_a_lowered_budget_is_given_back(self) -> None:
        """An operator lowers a budget below what routers drew.

        Tokens that stay in a router's hand would be spent although the account has
        paid for fewer.
        """
        router = book("a")
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 20_000})
        planned = router.plan_write(1100.0, 1.1, 1)
        self.assertEqual(planned.budgets[ACCOUNT], 20_000)
        router.commit(planned, 2)
        self.assertEqual(router.of(ACCOUNT).hand_tokens, 20_000)

    def test_an_orderly_stop_gives_all_back(self) -> None:
        """A router that stops leaves exactly what was consumed behind."""
        router = book("a")
        router.wanted_tokens[ACCOUNT] = 1000
        write(router, 1000.0)
        held = router.reserve(ACCOUNT, 1000, 1000.0)
        assert isinstance(held, Reservation)
        router.settle(held, 700)
        router.give_back_all()
        row = write(router, 1100.0)
        self.assertEqual(row.terms[ACCOUNT], Terms(700, 700, 0, 1100))
        self.assertEqual(router.totals[ACCOUNT].drawn_tokens, 700)


class DrawTests(unittest.TestCase):
    """Pattern: a budget is topped up, and thirty routers draw on it at once."""

    def test_limits_move_on_while_draws_are_held_back(self) -> None:
        """Each router's write fails as often as another one draws first.

        Limits stand in the same write. Until it gets through, callers are refused
        although their tokens are held; a write without draws cannot lose.
        """
        router = book("a", prepaid=10_000)
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 50_000})
        router.wanted_tokens[ACCOUNT] = 900
        held_back = router.plan_write(1010.0, 1.01, 1, draws=False)
        self.assertEqual(held_back.budgets, {})
        self.assertGreaterEqual(held_back.row.terms[ACCOUNT].limit_tokens, 900)
        router.commit(held_back, revision=2)
        self.assertEqual(write(router, 1100.0).terms[ACCOUNT].drawn_tokens, 50_000)

    def test_what_is_too_much_is_given_back_all_the_same(self) -> None:
        """An operator lowers a budget while a router holds its draws back."""
        router = book("a")
        write(router, 1000.0)
        router.set_prepaid({ACCOUNT: 20_000})
        planned = router.plan_write(1100.0, 1.1, 1, draws=False)
        self.assertEqual(planned.budgets[ACCOUNT], 20_000)


class ScarcityTests(unittest.TestCase):
    """Pattern: callers of an account that is nearly spent ask for more than is left."""

    def test_what_is_asked_for_in_vain_is_not_promised(self) -> None:
        """A router holds 3,000 tokens, and a request for 12,000 waits for more.

        A limit that covered the request would be ahead by all that is left. If all
        routers are killed then, each successor counts that as used, and small
        requests that the budget still covers are refused from then on.
        """
        router = book("a", prepaid=3000)
        write(router, 1000.0)
        router.wanted_tokens[ACCOUNT] = 12_000
        self.assertEqual(write(router, 1100.0).terms[ACCOUNT].limit_tokens, 0)
        self.assertEqual(router.state(1, 1100.0, 1.1).limits[ACCOUNT], 0)

    def test_a_caller_is_told_when_the_limit_will_cover_it(self) -> None:
        """Without the store, a limit covers a long prompt only after some seconds.

        A caller that comes back at once finds it too small again and gives up.
        """
        router = book("a")
        router.of(ACCOUNT).note_demand(3000, 0.9, 8.0)
        write(router, 1000.0)
        pace = router.of(ACCOUNT).confirmed.pace_tokens_per_s
        self.assertGreater(pace, 1000)
        at_once = router.covered_in_s(ACCOUNT, 100, 1000.0)
        later = router.covered_in_s(ACCOUNT, 2 * pace, 1000.0)
        assert at_once is not None and later is not None
        self.assertLess(at_once, 0.5)
        self.assertGreater(later, 1.5)
        store_ms = 1000.0 + later * 1000.0
        self.assertIsInstance(router.reserve(ACCOUNT, 2 * pace, store_ms), Reservation)
        self.assertIsNone(router.covered_in_s(ACCOUNT, PREPAID + 1, 1000.0))


class SuccessorTests(unittest.TestCase):
    """Count what a dead process may have used, and no less."""

    def test_a_killed_router_costs_no_overspend(self) -> None:
        """A router is killed while it cannot reach the store.

        It went on with what its row allowed. Its successor, which knows nothing of
        that, must not hand the same tokens out again: the account would consume
        more than it paid for.
        """
        rng = random.Random(7)
        for _ in range(200):
            router = book("old")
            router.of(ACCOUNT).note_demand(rng.randrange(1, 20_000), 0.9, 8.0)
            row = write(router, 1000.0)
            now_ms = 1000.0
            for _ in range(rng.randrange(1, 40)):
                now_ms += rng.random() * 400
                held = router.reserve(ACCOUNT, rng.randrange(1, 3000), now_ms)
                if isinstance(held, Reservation) and rng.random() < 0.7:
                    router.settle(held, rng.randrange(0, held.tokens + 1))
            after = book("new")
            charged = after.succeed(row, Word(now_ms + rng.random() * 3000))
            self.assertGreaterEqual(charged[ACCOUNT], router.of(ACCOUNT).used_tokens)

    def test_an_unreadable_row_says_so(self) -> None:
        """A row that another program wrote is refused, with what is wrong."""
        row = HolderRow(InstanceId("a"), 3, {ACCOUNT: Terms(5, 4, 3, 2)}, (B,), True)
        self.assertEqual(decode_holder(encode_holder(row)), row)
        for value in (b"", b"[]", b"{}", b'{"as_of_ms": "x"}'):
            with self.assertRaises(RowError):
                decode_holder(value)


class LoanTests(unittest.TestCase):
    """Move tokens between routers; none appears from nowhere."""

    def test_random_moves_kills_and_cuts_never_overspend(self) -> None:
        """Routers lend, lose messages, are cut off and are killed, for long.

        Whatever is lost, consumed tokens stay within the budget; a caller would
        else use what its account did not pay for.
        """
        for seed in range(60):
            self._play(random.Random(seed))

    def test_a_router_that_is_cut_off_can_lend_what_it_does_not_need(self) -> None:
        """All routers lose the store, and an account's callers press on one of them.

        Its peers hold most of the account's tokens and have no callers for them. If
        their limits stood still, these callers would be refused.
        """
        router = book("a")
        write(router, 1000.0)
        write(router, 1150.0)
        self.assertEqual(router.lend(ACCOUNT, 500, 50_000, 1150.0), 0)
        lent = router.lend(ACCOUNT, 4000, 50_000, 4150.0)
        self.assertGreaterEqual(lent, 4000)
        self.assertLessEqual(lent, PREPAID * 0.1)

    def _play(self, rng: random.Random) -> None:
        totals = BudgetTotal()
        names = ["a", "b", "c"]
        books = {name: book(name) for name in names}
        rows: dict[str, HolderRow] = {}
        consumed = 0
        now_ms = 1000.0
        for step in range(300):
            now_ms += rng.random() * 300
            name = rng.choice(names)
            router = books[name]
            action = rng.random()
            if action < 0.4:
                held = router.reserve(ACCOUNT, rng.randrange(1, 2500), now_ms)
                if isinstance(held, Reservation):
                    used = rng.randrange(0, held.tokens + 1)
                    consumed += used
                    router.settle(held, used)
            elif action < 0.6:
                lost = rng.random() < 0.2
                tokens = router.lend(ACCOUNT, 500, rng.randrange(500, 9000), now_ms)
                if tokens and not lost:
                    other = rng.choice([key for key in names if key != name])
                    books[other].borrow(ACCOUNT, tokens)
            elif action < 0.95:
                router.totals[ACCOUNT] = totals
                router.wanted_tokens[ACCOUNT] = rng.randrange(0, 4000)
                planned = router.plan_write(now_ms, now_ms / 1000.0, 3)
                if rng.random() < 0.85:
                    router.commit(planned, step)
                    rows[name] = planned.row
                    if ACCOUNT in planned.budgets:
                        totals = BudgetTotal(planned.budgets[ACCOUNT], step)
                else:
                    router.void()
            elif name in rows:
                books[name] = book(name)
                books[name].succeed(rows[name], Word(now_ms))
            self.assertLessEqual(consumed, PREPAID)
            self.assertLessEqual(totals.drawn_tokens, PREPAID)


class WitnessTests(unittest.TestCase):
    """Bound what a killed router may have used by what others heard of it."""

    def test_limits_grow_only_while_a_majority_hears(self) -> None:
        """A router reaches neither the store nor its witnesses.

        Its limits stop to grow, so that a successor elsewhere in time can rely on
        the last word of the witnesses.
        """
        witnesses = Witnesses(confirmed=(B, C))
        say(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        self.assertEqual(witnesses.reach_ms(2100.0), GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), -math.inf)
        witnesses.acknowledge(C, 1)
        self.assertEqual(witnesses.reach_ms(2100.0), 2100.0)
        self.assertEqual(witnesses.reach_ms(9000.0), 2000.0 + GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)
        say(witnesses, 2, 8000.0, 900)
        witnesses.acknowledge(InstanceId("stranger"), 2)
        self.assertEqual(witnesses.reach_ms(9000.0), 2000.0 + GRACE_MS)

    def test_one_dead_witness_of_three_stops_nothing(self) -> None:
        """A witness is killed in a cut; the two others still hear all."""
        witnesses = Witnesses(confirmed=(B, C, InstanceId("d")))
        say(witnesses, 1, 2000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.acknowledge(C, 1)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 700)

    def test_a_lower_statement_binds_before_it_is_acknowledged(self) -> None:
        """A router lowers its limit after a large request ended.

        Whether a witness has the old statement or the new one is not known yet; a
        successor may be told either, so that the lower one counts.
        """
        witnesses = Witnesses(confirmed=(B,))
        say(witnesses, 1, 2000.0, 900)
        witnesses.acknowledge(B, 1)
        say(witnesses, 2, 2100.0, 400)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 400)
        say(witnesses, 3, 2200.0, 800)
        witnesses.acknowledge(B, 3)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), 800)

    def test_a_pending_row_counts_as_well(self) -> None:
        """A write without an answer may have named other witnesses."""
        witnesses = Witnesses(confirmed=(B,))
        say(witnesses, 1, 5000.0, 700)
        witnesses.acknowledge(B, 1)
        witnesses.plan((C,), False)
        self.assertEqual(witnesses.reach_ms(5000.0), GRACE_MS)
        self.assertEqual(witnesses.limit_tokens(ACCOUNT), -math.inf)
        witnesses.void()
        self.assertEqual(witnesses.reach_ms(5000.0), 5000.0)

    def test_too_few_witnesses_leave_the_whole_time(self) -> None:
        """All routers are killed at once, and nobody remembers anything.

        Then the successor must take the dead one to have used all that its row
        allowed until it had ended for certain.
        """
        three = (B, C, InstanceId("d"))
        heard = {B: Statement(4, 1500.0, {ACCOUNT: 700})}
        word = word_of(three, heard, 9000.0)
        self.assertEqual(word.lived_ms, 9000.0)
        self.assertEqual(word.used_tokens(ACCOUNT, 500, 3000), 3000)
        heard[C] = Statement(3, 1400.0, {ACCOUNT: 650})
        word = word_of(three, heard, 9000.0)
        self.assertEqual(word.lived_ms, 1500.0 + GRACE_MS)
        self.assertEqual(word.used_tokens(ACCOUNT, 500, 3000), 700)
        self.assertEqual(word.used_tokens(ACCOUNT, 800, 3000), 800)
        self.assertEqual(word_of((), {}, 9000.0).lived_ms, 9000.0)

    def test_an_orderly_end_that_the_store_missed_costs_nothing(self) -> None:
        """A router stops while the store is slow, and its last write is lost.

        Its row still says what it might have used seconds ago. One witness heard
        what it used in the end, and that counts in place of the row.
        """
        last = Statement(9, 8000.0, {ACCOUNT: 420}, final=True)
        word = word_of((B, C, InstanceId("d")), {C: last}, 9000.0)
        self.assertEqual(word.used_tokens(ACCOUNT, 500, 3000), 420)


class KillTests(unittest.TestCase):
    """What a killed router leaves to its successor, with and without witnesses."""

    def test_random_kills_beside_witnesses_never_overspend(self) -> None:
        """A router loses the store and statements, and is killed at any moment.

        Its successor hears some of the witnesses. What it takes for used is never
        less than what was consumed: an account would be handed the same tokens
        twice. With all witnesses it is not much more, either.
        """
        over_tokens = 0
        for seed in range(300):
            over_tokens += self._play(random.Random(seed))
        self.assertLess(over_tokens / 300, PREPAID / 25)

    def _play(self, rng: random.Random) -> int:
        names = (B, C, InstanceId("d"))
        router = book("old")
        router.witnesses.confirmed = names
        heard: dict[InstanceId, Statement] = {}
        row = write(router, 1000.0, witnesses=names)
        now_ms, sequence = 1000.0, 0
        for _ in range(rng.randrange(1, 60)):
            now_ms += rng.random() * 120
            router.of(ACCOUNT).note_demand(rng.randrange(1, 900), now_ms / 1000, 8.0)
            if rng.random() < 0.3:
                row = write(router, now_ms, witnesses=names)
            if rng.random() < 0.8:
                sequence += 1
                router.wanted_tokens[ACCOUNT] = rng.randrange(0, 1500)
                said = router.state(sequence, now_ms, now_ms / 1000)
                for name in names:
                    if rng.random() < 0.8:
                        heard[name] = said
                        if rng.random() < 0.8:
                            router.witnesses.acknowledge(name, sequence)
            held = router.reserve(ACCOUNT, rng.randrange(1, 1500), now_ms)
            if isinstance(held, Reservation) and rng.random() < 0.7:
                router.settle(held, rng.randrange(0, held.tokens + 1))
        answered = {
            name: heard.get(name, Statement(0, 0.0))
            for name in names
            if rng.random() < 0.9
        }
        word = word_of(names, answered, now_ms + rng.random() * 3000)
        used = book("new").succeed(row, word)[ACCOUNT]
        self.assertGreaterEqual(used, router.of(ACCOUNT).used_tokens)
        return used - router.of(ACCOUNT).used_tokens


class StoreClockTests(unittest.TestCase):
    """Never run ahead of the store's clock."""

    def test_the_estimate_stays_behind(self) -> None:
        """A router whose clock runs half a percent fast would else spend too early."""
        clock = StoreClock()
        clock.heard(50_000, 10.0)
        self.assertLess(clock.now_ms(11.005), 51_000)
        clock.heard(50_100, 11.005)
        self.assertGreater(clock.now_ms(11.005), 50_900)
