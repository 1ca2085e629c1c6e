"""Claims of a key slot, its rows, and when the slot may change hands."""

import unittest

from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.requests.claim_rows import (
    SLOT_PARTITION,
    beat_transaction,
    claims_of_rows,
    commit_transaction,
    next_sequence_of_rows,
    ring_partition,
    slot_map_of_rows,
    take_transaction,
)
from endivegw.requests.claims import (
    CannotTell,
    Claim,
    ClaimAsk,
    ClaimLimits,
    Existing,
    Granted,
    SlotOwner,
    Waiting,
)
from endivegw.requests.slots import (
    Beat,
    Slot,
    SlotMap,
    SlotWatch,
    Take,
    TakeRule,
    rank,
)
from endivegw.results import Done, Reason
from endivegw.types import AttemptId, InstanceId, TargetName
from endivegw_standins.memory_table import MemoryTable

LIMITS = ClaimLimits(spacing_s=1.0, retention_s=100.0, grace_s=30.0, most_claims=6)
VMS = frozenset({"vm1", "vm2", "vm3"})


def ask(attempt, key=1, *, digest=b"d", **changes):
    claim = Claim(bytes([key]), AttemptId(attempt), TargetName("t"), "i.0", digest)
    return ClaimAsk(claim, **changes)


def owner(**changes):
    return SlotOwner(0, LIMITS, beat_at_s=0.0, **changes)


def commit(slot_owner, now_s):
    batch = slot_owner.next_commit(now_s)
    if batch is not None:
        slot_owner.committed(batch)
    return batch


def slot(vm="vm1", instance="i1", *, tainted=False, version=1):
    target = TargetName("t1")
    return Slot(0, target, InstanceId(instance), vm, vm, 1, tainted, version)


class OwnerTests(unittest.TestCase):
    def test_claim_waits_for_its_row(self):
        """A claim is granted only after the row that holds it is written."""
        slots = owner()
        self.assertEqual(slots.ask(ask("a"), 0.0), Waiting())
        commit(slots, 0.0)
        self.assertEqual(slots.ask(ask("a"), 0.0), Granted(durable=True))

    def test_second_attempt_learns_of_the_first(self):
        """
        A router died and its caller retries at another one. The second router
        is told which attempt has the key, and starts none of its own.
        """
        slots = owner()
        slots.ask(ask("a"), 0.0)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(ask("b"), 0.0), Existing(ask("a").claim))

    def test_claim_moves_only_in_place_of_the_attempt_that_holds_it(self):
        """
        Two routers both proved that an attempt never started. One of them gets
        the claim, the other learns that it has moved on.
        """
        slots = owner()
        slots.ask(ask("a"), 0.0)
        commit(slots, 0.0)
        slots.ask(ask("b", replaces=AttemptId("a")), 0.0)
        commit(slots, 2.0)
        late = slots.ask(ask("c", replaces=AttemptId("a")), 2.0)
        self.assertEqual(late, Existing(ask("b").claim))

    def test_lost_answer_to_a_claim(self):
        """
        The answer to a claim is lost and the router asks again. It is told that
        the claim is its own.
        """
        slots = owner()
        slots.ask(ask("a"), 0.0)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(ask("a"), 9.0), Granted(durable=True))

    def test_outage_is_served_from_memory_after_the_grace_time(self):
        """
        The table goes away for long. Claims are held back for the grace time,
        then granted, and written when the table is back.
        """
        slots = owner()
        slots.ask(ask("a"), 0.0)
        slots.next_commit(0.0)
        slots.failed()
        self.assertEqual(slots.ask(ask("a"), 29.0), Waiting())
        self.assertEqual(slots.ask(ask("a"), 30.0), Granted(durable=False))
        self.assertEqual(slots.ask(ask("b", 2), 31.0), Granted(durable=False))
        self.assertEqual(slots.ask(ask("c", 2), 31.0), Existing(ask("b", 2).claim))
        commit(slots, 40.0)
        commit(slots, 41.0)
        self.assertIs(slots.flushed, True)

    def test_old_beat_with_a_healthy_table_grants_nothing(self):
        """
        An owner's process is paused and wakes up. It does not take its own
        pause for an outage of the table.
        """
        slots = owner()
        self.assertEqual(slots.ask(ask("a"), 500.0), Waiting())

    def test_tainted_slot_cannot_tell_absent_keys(self):
        """
        An owner died in an outage and may have granted keys from memory. Its
        successor does not call such a key new.
        """
        slots = owner(tainted_until_s=100.0)
        slots.load((ask("a").claim,), 0.0)
        self.assertEqual(slots.ask(ask("b", 1), 5.0), Existing(ask("a").claim))
        self.assertEqual(slots.ask(ask("b", 2), 5.0), CannotTell())
        self.assertEqual(slots.ask(ask("b", 2), 100.0), Waiting())

    def test_full_owner_refuses_rather_than_forgets(self):
        """
        More keys come than an owner may keep. New ones are refused: forgetting
        one early could print a badge twice.
        """
        slots = owner()
        for number in range(6):
            slots.ask(ask(f"a{number}", number), 0.0)
        full = slots.ask(ask("b", 9), 0.0)
        self.assertEqual(full.reason, Reason.CLAIM_UNAVAILABLE)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(ask("b", 9), 101.0), Waiting())

    def test_deposed_owner_grants_nothing(self):
        """An owner that found another one in the table stops at once."""
        slots = owner()
        slots.ask(ask("a"), 0.0)
        slots.deposed()
        refused = slots.ask(ask("a"), 60.0)
        self.assertEqual(refused.reason, Reason.CLAIM_UNAVAILABLE)
        self.assertIsNone(slots.next_commit(60.0))

    def test_repeatable_request_needs_no_row(self):
        """A repeatable request's claim helps to find it, and costs no write."""
        slots = owner(tainted_until_s=100.0)
        hint = slots.ask(ask("a", repeatable=True), 0.0)
        self.assertEqual(hint, Granted(durable=False))
        found = slots.ask(ask("b", repeatable=True), 0.0)
        self.assertEqual(found, Existing(ask("a").claim))
        self.assertIsNone(slots.next_commit(0.0))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "move", "commit", "lose", "beat"]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.sampled_from([0.0, 1.0, 7.0, 31.0]),
    ),
    max_size=60,
)


class RandomOwnerTests(unittest.TestCase):
    @seed(20261204)
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(EVENTS)
    def test_one_attempt_holds_a_key_through_outage_and_hand_over(self, events):
        """
        Claims, lost writes, outages and moves come in any order, and then the
        owner ends. A key is granted to its one holder only, and the successor
        knows the holder or says that it cannot tell.
        """
        table, place = MemoryTable(), slot(version=1)
        table.transact_now(
            take_transaction(
                Take(0, 0, 1, False), place.target, place.instance_id, "vm1", "vm1"
            )
        )
        limits = evolve(LIMITS, retention_s=1e9)
        first, now_s = SlotOwner(0, limits, beat_at_s=0.0), 0.0
        holders, written = {}, {}
        for kind, number, key, wait_s in events:
            now_s += wait_s
            attempt = f"a{number}"
            if kind == "ask" or kind == "move":
                before = holders.get(key)
                replaces = AttemptId(before or "") if kind == "move" else ""
                answer = first.ask(ask(attempt, key, replaces=replaces), now_s)
                if isinstance(answer, (Granted, Waiting)):
                    self.assertTrue(kind == "move" or before in (None, attempt))
                    holders[key] = attempt
                else:
                    self.assertEqual(answer, Existing(ask(before, key).claim))
                durable = isinstance(answer, Granted) and answer.durable
                if durable:
                    self.assertEqual(written.get(key), attempt)
            elif kind in ("commit", "lose"):
                batch = first.next_commit(now_s)
                if batch is not None:
                    table.transact_now(commit_transaction(place, batch, 1000))
                    written.update({c.key[0]: c.attempt_id for c in batch.claims})
                    first.failed() if kind == "lose" else first.committed(batch)
            elif kind == "beat":
                first.beat(now_s)
        unwritten = not first.flushed
        rows = table.page(ring_partition(0), "", None, 1000).rows
        taint_s = now_s + 1.0 if unwritten else 0.0
        successor = SlotOwner(0, limits, now_s, tainted_until_s=taint_s)
        successor.load(claims_of_rows(rows), now_s)
        for key, holder in holders.items():
            answer = successor.ask(ask("new", key), now_s)
            if unwritten:
                self.assertIsInstance(answer, (CannotTell, Existing))
            else:
                self.assertEqual(answer, Existing(ask(holder, key).claim))


class RowTests(unittest.TestCase):
    def test_deposed_owner_cannot_write(self):
        """
        A paused owner wakes up after its slot was taken over. The table refuses
        its claims and its beats.
        """
        table = MemoryTable()
        old = slot(version=1)
        for version in (0, 1):
            table.transact_now(
                take_transaction(
                    Take(0, version, version + 1, False),
                    old.target,
                    old.instance_id,
                    "vm1",
                    "vm1",
                )
            )
        slots = owner()
        slots.ask(ask("a"), 0.0)
        batch = slots.next_commit(0.0)
        refused = table.transact_now(commit_transaction(old, batch, 1000))
        self.assertEqual(refused.reason, Reason.CONFLICT)
        beat = table.transact_now(beat_transaction(old, Beat(1, 0, 0)))
        self.assertEqual(beat.reason, Reason.CONFLICT)

    def test_claims_are_read_back_in_order(self):
        """A moved claim is read back as moved, also round the ring's end."""
        table, place = MemoryTable(), slot(version=1)
        table.transact_now(
            take_transaction(
                Take(0, 0, 1, False), place.target, place.instance_id, "vm1", "vm1"
            )
        )
        slots = owner(next_sequence=4)
        slots.ask(ask("a"), 0.0)
        for now_s, attempt, replaces in ((0.0, "b", "a"), (2.0, "c", "b")):
            batch = slots.next_commit(now_s)
            done = table.transact_now(commit_transaction(place, batch, 5))
            self.assertEqual(done, Done(None))
            slots.committed(batch)
            slots.ask(ask(attempt, replaces=AttemptId(replaces)), now_s)
        rows = table.page(ring_partition(0), "", None, 10).rows
        self.assertEqual([row.key.sort for row in rows], ["000000", "000004"])
        claims = claims_of_rows(rows)
        self.assertEqual([claim.attempt_id for claim in claims], ["a", "b"])
        self.assertEqual(next_sequence_of_rows(rows), 6)
        listed = table.page(SLOT_PARTITION, "", None, 10).rows
        self.assertEqual(slot_map_of_rows(listed, 0.0).owner(0), place)


class TakeOverTests(unittest.TestCase):
    def watch(self, vm="vm2", instance="i2", target="t2"):
        return SlotWatch(
            vm, TargetName(target), InstanceId(instance), TakeRule(1, 5.0), LIMITS
        )

    def seen(self, watch, beats, *, found=None, every_s=10.0):
        """Let a watch read the map once for each beat."""
        for number, beat in enumerate(beats):
            place = slot() if found is None else found
            watch.read(SlotMap({0: place}, {0: beat}, number * every_s))

    def test_silent_owner_keeps_its_slot(self):
        """
        An owner is cut off or paused for an hour and still listed. Nobody takes
        its slot: it may be granting claims, or wake up and do so.
        """
        watch = self.watch()
        self.seen(watch, [Beat(1, 0, 0)])
        self.assertEqual(watch.takes(VMS, VMS, 3600.0, 0.0), ())

    def test_owner_off_the_list_in_time_leaves_a_clean_slot(self):
        """
        An owner's machine ends and the list says so within the grace time. It
        cannot have granted from memory, and the slot goes on as if nothing was.
        """
        watch = self.watch()
        beats = [Beat(n, n - 1, 0) for n in (1, 2, 3, 4)]
        self.seen(watch, beats)
        rest = VMS - {"vm1"}
        watch.takes(rest, rest, 30.0, 0.0)
        takes = watch.takes(rest, rest, 39.0, 0.0)
        self.assertEqual(takes, (Take(0, 1, 2, False),))

    def test_owner_off_the_list_late_leaves_a_tainted_slot(self):
        """
        An owner's machine ends at some time of an outage. It may have granted
        claims that nobody knows, and the slot says so.
        """
        watch = self.watch()
        self.seen(watch, [Beat(n, n - 1, 0) for n in (1, 2, 3, 4)])
        rest = VMS - {"vm1"}
        watch.takes(rest, rest, 30.0, 0.0)
        takes = watch.takes(rest, rest, 60.0, 0.0)
        self.assertEqual(takes, (Take(0, 1, 2, True),))

    def test_beats_whose_answers_were_lost_do_not_count(self):
        """
        An owner's beats are written while their answers are lost, so that it
        starts to grant from memory. Its beats in the table do not hide that.
        """
        watch = self.watch()
        self.seen(watch, [Beat(n, 1, 0) for n in (1, 2, 3, 4, 5, 6)])
        rest = VMS - {"vm1"}
        watch.takes(rest, rest, 50.0, 0.0)
        takes = watch.takes(rest, rest, 56.0, 0.0)
        self.assertEqual(takes, (Take(0, 1, 2, True),))

    def test_late_write_of_an_old_beat_does_not_count(self):
        """
        A beat's write arrives late, over a newer one. The reading that shows
        the old count again does not make the newer one look recent.
        """
        watch = self.watch()
        beats = [Beat(1, 0, 0), Beat(3, 2, 0), Beat(2, 1, 0), Beat(3, 2, 0)]
        self.seen(watch, beats)
        self.assertEqual(watch._before_confirmed_s[0], 0.0)

    def test_restarted_process_takes_its_slots_back_clean(self):
        """
        A sidecar's process crashes and is started again within the grace time.
        Its slots go on at once, and no key becomes unknown.
        """
        watch = self.watch("vm1", "i1-again", "t1")
        self.seen(watch, [Beat(9, 8, 1_000_000)])
        self.assertEqual(watch.takes(VMS, VMS, 0.0, 1020.0), (Take(0, 1, 2, False),))
        self.assertEqual(watch.takes(VMS, VMS, 0.0, 1031.0), (Take(0, 1, 2, True),))
        self.assertEqual(watch.takes(VMS, VMS, 0.0, 990.0), (Take(0, 1, 2, True),))

    def test_taint_stays_with_the_slot(self):
        """A tainted slot that was handed over in order is tainted still."""
        watch = self.watch()
        self.seen(watch, [Beat(1, 0, 0)], found=slot("", tainted=True))
        watch.takes(VMS, VMS, 0.0, 0.0)
        self.assertEqual(watch.takes(VMS, VMS, 20.0, 0.0), (Take(0, 1, 2, True),))

    def test_next_in_rank_steps_in_later(self):
        """
        The first in rank for a slot is down itself. The next one takes the
        slot after a wait, so that it does not stay without an owner.
        """
        order = rank(0, VMS)
        for position, vm in enumerate(order):
            watch = self.watch(vm)
            watch.read(SlotMap({}, {}, 0.0))
            watch.takes(VMS, VMS, 0.0, 0.0)
            due_s = position * 5.0
            self.assertEqual(len(watch.takes(VMS, VMS, due_s, 0.0)), 1)
            if position:
                self.assertEqual(watch.takes(VMS, VMS, due_s - 1.0, 0.0), ())
