"""Claims of a key slot, their rows, and the transfer of slot ownership."""

import unittest

from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.requests.claim_rows import (
    SLOT_PARTITION,
    acquire_transaction,
    claims_of_rows,
    commit_transaction,
    heartbeat_transaction,
    next_sequence_of_rows,
    ring_partition,
    slot_map_of_rows,
)
from endivegw.requests.claims import (
    CannotTell,
    Claim,
    ClaimLimits,
    ClaimProposal,
    Existing,
    Granted,
    SlotOwner,
    Waiting,
)
from endivegw.requests.slots import (
    AcquisitionRule,
    Slot,
    SlotAcquisition,
    SlotHeartbeat,
    SlotMap,
    SlotWatch,
    ranked_vms,
)
from endivegw.results import Done, Reason
from endivegw.types import AttemptId, InstanceId, TargetName
from endivegw_standins.memory_table import MemoryTable

LIMITS = ClaimLimits(
    commit_interval_s=1.0, retention_s=100.0, grace_s=30.0, max_claims=6
)
VMS = frozenset({"vm1", "vm2", "vm3"})


def proposal(attempt, key=1, *, digest=b"d", **changes):
    claim = Claim(bytes([key]), AttemptId(attempt), TargetName("t"), "i.0", digest)
    return ClaimProposal(claim, **changes)


def owner(**changes):
    return SlotOwner(0, LIMITS, last_heartbeat_s=0.0, **changes)


def commit(slot_owner, now_s):
    batch = slot_owner.next_commit(now_s)
    if batch is not None:
        slot_owner.committed(batch)
    return batch


def slot(vm="vm1", instance="i1", *, possibly_incomplete=False, version=1):
    target = TargetName("t1")
    return Slot(
        0, target, InstanceId(instance), vm, vm, 1, possibly_incomplete, version
    )


class OwnerTests(unittest.TestCase):
    def test_claim_waits_for_its_row(self):
        """A claim is granted only after the row that holds it is written."""
        slots = owner()
        self.assertEqual(slots.ask(proposal("a"), 0.0), Waiting())
        commit(slots, 0.0)
        self.assertEqual(slots.ask(proposal("a"), 0.0), Granted(durable=True))

    def test_second_attempt_is_referred_to_the_first(self):
        """
        Guards against a second run when a router crashed and its caller retries at
        another one: the second router is referred to the existing attempt.
        """
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(proposal("b"), 0.0), Existing(proposal("a").claim))

    def test_claim_moves_only_from_the_attempt_that_holds_it(self):
        """
        Two routers have both proved that an attempt never started. One of them gets
        the claim, the other is referred to the new attempt.
        """
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        commit(slots, 0.0)
        slots.ask(proposal("b", replaces=AttemptId("a")), 0.0)
        commit(slots, 2.0)
        late = slots.ask(proposal("c", replaces=AttemptId("a")), 2.0)
        self.assertEqual(late, Existing(proposal("b").claim))

    def test_repeated_proposal_after_a_lost_answer_is_granted(self):
        """
        The answer to a proposal is lost and the router sends it again. The claim is
        granted to it again.
        """
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(proposal("a"), 9.0), Granted(durable=True))

    def test_outage_is_served_from_memory_after_the_grace_time(self):
        """
        During a long outage of the table, claims wait for the grace time, are then
        granted from memory, and are written after the outage.
        """
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        slots.next_commit(0.0)
        slots.failed()
        self.assertEqual(slots.ask(proposal("a"), 29.0), Waiting())
        self.assertEqual(slots.ask(proposal("a"), 30.0), Granted(durable=False))
        self.assertEqual(slots.ask(proposal("b", 2), 31.0), Granted(durable=False))
        self.assertEqual(
            slots.ask(proposal("c", 2), 31.0), Existing(proposal("b", 2).claim)
        )
        commit(slots, 40.0)
        commit(slots, 41.0)
        self.assertIs(slots.flushed, True)

    def test_old_heartbeat_with_a_healthy_table_grants_nothing(self):
        """
        Guards against an owner that mistakes a pause of its own process for an outage
        of the table.
        """
        slots = owner()
        self.assertEqual(slots.ask(proposal("a"), 500.0), Waiting())

    def test_possibly_incomplete_slot_does_not_know_absent_keys(self):
        """
        An owner terminated in an outage and may have granted keys from memory. Its
        successor must not treat such a key as new.
        """
        slots = owner(incomplete_until_s=100.0)
        slots.load((proposal("a").claim,), 0.0)
        self.assertEqual(
            slots.ask(proposal("b", 1), 5.0), Existing(proposal("a").claim)
        )
        self.assertEqual(slots.ask(proposal("b", 2), 5.0), CannotTell())
        self.assertEqual(slots.ask(proposal("b", 2), 100.0), Waiting())

    def test_full_owner_refuses_instead_of_evicting(self):
        """
        An owner at its limit refuses new keys, because evicting a claim early could
        run a non-repeatable request twice.
        """
        slots = owner()
        for number in range(6):
            slots.ask(proposal(f"a{number}", number), 0.0)
        full = slots.ask(proposal("b", 9), 0.0)
        self.assertEqual(full.reason, Reason.CLAIM_UNAVAILABLE)
        commit(slots, 0.0)
        self.assertEqual(slots.ask(proposal("b", 9), 101.0), Waiting())

    def test_deposed_owner_grants_nothing(self):
        """An owner stops at once when the table shows another owner."""
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        slots.ownership_lost()
        refused = slots.ask(proposal("a"), 60.0)
        self.assertEqual(refused.reason, Reason.CLAIM_UNAVAILABLE)
        self.assertIsNone(slots.next_commit(60.0))

    def test_repeatable_request_needs_no_row(self):
        """The claim of a repeatable request can be found, and costs no write."""
        slots = owner(incomplete_until_s=100.0)
        hint = slots.ask(proposal("a", repeatable=True), 0.0)
        self.assertEqual(hint, Granted(durable=False))
        found = slots.ask(proposal("b", repeatable=True), 0.0)
        self.assertEqual(found, Existing(proposal("a").claim))
        self.assertIsNone(slots.next_commit(0.0))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "move", "commit", "lose", "heartbeat"]),
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
        Claims, lost writes, outages and moves happen in any order, then the owner
        terminates. Each key is granted only to its holder, and the successor knows the
        holder or reports that it cannot tell.
        """
        table, owned_slot = MemoryTable(), slot(version=1)
        table.transact_now(
            acquire_transaction(
                SlotAcquisition(0, 0, 1, False),
                owned_slot.target,
                owned_slot.instance_id,
                "vm1",
                "vm1",
            )
        )
        limits = evolve(LIMITS, retention_s=1e9)
        first, now_s = SlotOwner(0, limits, last_heartbeat_s=0.0), 0.0
        holders, written = {}, {}
        for kind, number, key, wait_s in events:
            now_s += wait_s
            attempt = f"a{number}"
            if kind == "ask" or kind == "move":
                before = holders.get(key)
                replaces = AttemptId(before or "") if kind == "move" else ""
                answer = first.ask(proposal(attempt, key, replaces=replaces), now_s)
                if isinstance(answer, (Granted, Waiting)):
                    self.assertTrue(kind == "move" or before in (None, attempt))
                    holders[key] = attempt
                else:
                    self.assertEqual(answer, Existing(proposal(before, key).claim))
                durable = isinstance(answer, Granted) and answer.durable
                if durable:
                    self.assertEqual(written.get(key), attempt)
            elif kind in ("commit", "lose"):
                batch = first.next_commit(now_s)
                if batch is not None:
                    table.transact_now(commit_transaction(owned_slot, batch, 1000))
                    written.update({c.key[0]: c.attempt_id for c in batch.claims})
                    first.failed() if kind == "lose" else first.committed(batch)
            elif kind == "heartbeat":
                first.heartbeat(now_s)
        unwritten = not first.flushed
        rows = table.page(ring_partition(0), "", None, 1000).rows
        incomplete_until_s = now_s + 1.0 if unwritten else 0.0
        successor = SlotOwner(0, limits, now_s, incomplete_until_s=incomplete_until_s)
        successor.load(claims_of_rows(rows), now_s)
        for key, holder in holders.items():
            answer = successor.ask(proposal("new", key), now_s)
            if unwritten:
                self.assertIsInstance(answer, (CannotTell, Existing))
            else:
                self.assertEqual(answer, Existing(proposal(holder, key).claim))


class RowTests(unittest.TestCase):
    def test_deposed_owner_cannot_write(self):
        """
        A paused owner resumes after its slot was acquired by another. The table
        refuses its claims and its heartbeats.
        """
        table = MemoryTable()
        old = slot(version=1)
        for version in (0, 1):
            table.transact_now(
                acquire_transaction(
                    SlotAcquisition(0, version, version + 1, False),
                    old.target,
                    old.instance_id,
                    "vm1",
                    "vm1",
                )
            )
        slots = owner()
        slots.ask(proposal("a"), 0.0)
        batch = slots.next_commit(0.0)
        refused = table.transact_now(commit_transaction(old, batch, 1000))
        self.assertEqual(refused.reason, Reason.CONFLICT)
        heartbeat = table.transact_now(
            heartbeat_transaction(old, SlotHeartbeat(1, 0, 0))
        )
        self.assertEqual(heartbeat.reason, Reason.CONFLICT)

    def test_claims_are_read_back_in_order(self):
        """A moved claim is read back as moved, also where the ring wraps around."""
        table, owned_slot = MemoryTable(), slot(version=1)
        table.transact_now(
            acquire_transaction(
                SlotAcquisition(0, 0, 1, False),
                owned_slot.target,
                owned_slot.instance_id,
                "vm1",
                "vm1",
            )
        )
        slots = owner(next_sequence=4)
        slots.ask(proposal("a"), 0.0)
        for now_s, attempt, replaces in ((0.0, "b", "a"), (2.0, "c", "b")):
            batch = slots.next_commit(now_s)
            done = table.transact_now(commit_transaction(owned_slot, batch, 5))
            self.assertEqual(done, Done(None))
            slots.committed(batch)
            slots.ask(proposal(attempt, replaces=AttemptId(replaces)), now_s)
        rows = table.page(ring_partition(0), "", None, 10).rows
        self.assertEqual([row.key.sort for row in rows], ["000000", "000004"])
        claims = claims_of_rows(rows)
        self.assertEqual([claim.attempt_id for claim in claims], ["a", "b"])
        self.assertEqual(next_sequence_of_rows(rows), 6)
        listed = table.page(SLOT_PARTITION, "", None, 10).rows
        self.assertEqual(slot_map_of_rows(listed, 0.0).owner(0), owned_slot)


class SlotAcquisitionTests(unittest.TestCase):
    def watch(self, vm="vm2", instance="i2", target="t2"):
        return SlotWatch(
            vm,
            TargetName(target),
            InstanceId(instance),
            AcquisitionRule(1, 5.0),
            LIMITS,
        )

    def read_heartbeats(self, watch, heartbeats, *, found=None, every_s=10.0):
        """Let a watch read the map once for each heartbeat."""
        for number, heartbeat in enumerate(heartbeats):
            owned_slot = slot() if found is None else found
            watch.read(SlotMap({0: owned_slot}, {0: heartbeat}, number * every_s))

    def test_unresponsive_owner_keeps_its_slot(self):
        """
        An owner is partitioned or paused for an hour but still listed. Its slot is not
        acquired, because it may still grant claims or resume and do so.
        """
        watch = self.watch()
        self.read_heartbeats(watch, [SlotHeartbeat(1, 0, 0)])
        self.assertEqual(watch.acquisitions(VMS, VMS, 3600.0, 0.0), ())

    def test_owner_off_the_list_in_time_leaves_a_clean_slot(self):
        """
        The list shows the termination of an owner's machine within the grace time. The
        owner cannot have granted from memory, so the slot's claims are complete.
        """
        watch = self.watch()
        heartbeats = [SlotHeartbeat(n, n - 1, 0) for n in (1, 2, 3, 4)]
        self.read_heartbeats(watch, heartbeats)
        rest = VMS - {"vm1"}
        watch.acquisitions(rest, rest, 30.0, 0.0)
        acquisitions = watch.acquisitions(rest, rest, 39.0, 0.0)
        self.assertEqual(acquisitions, (SlotAcquisition(0, 1, 2, False),))

    def test_owner_off_the_list_late_leaves_a_possibly_incomplete_slot(self):
        """
        An owner's machine terminates during an outage. It may have granted claims that
        are not in the table, so the slot is marked as possibly incomplete.
        """
        watch = self.watch()
        self.read_heartbeats(watch, [SlotHeartbeat(n, n - 1, 0) for n in (1, 2, 3, 4)])
        rest = VMS - {"vm1"}
        watch.acquisitions(rest, rest, 30.0, 0.0)
        acquisitions = watch.acquisitions(rest, rest, 60.0, 0.0)
        self.assertEqual(acquisitions, (SlotAcquisition(0, 1, 2, True),))

    def test_unconfirmed_heartbeats_do_not_count(self):
        """
        An owner's heartbeats are written but their answers are lost, so it starts to
        grant from memory. Its heartbeats in the table must not hide that.
        """
        watch = self.watch()
        self.read_heartbeats(
            watch, [SlotHeartbeat(n, 1, 0) for n in (1, 2, 3, 4, 5, 6)]
        )
        rest = VMS - {"vm1"}
        watch.acquisitions(rest, rest, 50.0, 0.0)
        acquisitions = watch.acquisitions(rest, rest, 56.0, 0.0)
        self.assertEqual(acquisitions, (SlotAcquisition(0, 1, 2, True),))

    def test_late_write_of_an_old_heartbeat_does_not_count(self):
        """
        A delayed heartbeat write overwrites a newer one. The read that shows the old
        count again must not make the newer heartbeat look recent.
        """
        watch = self.watch()
        heartbeats = [
            SlotHeartbeat(1, 0, 0),
            SlotHeartbeat(3, 2, 0),
            SlotHeartbeat(2, 1, 0),
            SlotHeartbeat(3, 2, 0),
        ]
        self.read_heartbeats(watch, heartbeats)
        self.assertEqual(watch._before_confirmed_s[0], 0.0)

    def test_restarted_process_reacquires_its_slots_clean(self):
        """
        A sidecar process crashes and restarts within the grace time. It reacquires its
        slots at once, and their claims are complete.
        """
        watch = self.watch("vm1", "i1-again", "t1")
        self.read_heartbeats(watch, [SlotHeartbeat(9, 8, 1_000_000)])
        self.assertEqual(
            watch.acquisitions(VMS, VMS, 0.0, 1020.0),
            (SlotAcquisition(0, 1, 2, False),),
        )
        self.assertEqual(
            watch.acquisitions(VMS, VMS, 0.0, 1031.0), (SlotAcquisition(0, 1, 2, True),)
        )
        self.assertEqual(
            watch.acquisitions(VMS, VMS, 0.0, 990.0), (SlotAcquisition(0, 1, 2, True),)
        )

    def test_slot_stays_possibly_incomplete_under_its_next_owner(self):
        """A possibly incomplete slot stays so after an orderly release."""
        watch = self.watch()
        self.read_heartbeats(
            watch, [SlotHeartbeat(1, 0, 0)], found=slot("", possibly_incomplete=True)
        )
        watch.acquisitions(VMS, VMS, 0.0, 0.0)
        self.assertEqual(
            watch.acquisitions(VMS, VMS, 20.0, 0.0), (SlotAcquisition(0, 1, 2, True),)
        )

    def test_next_in_rank_acquires_the_slot_later(self):
        """
        Guards against a slot without an owner when the machine that is first in rank
        is down: the next one acquires the slot after a wait.
        """
        order = ranked_vms(0, VMS)
        for position, vm in enumerate(order):
            watch = self.watch(vm)
            watch.read(SlotMap({}, {}, 0.0))
            watch.acquisitions(VMS, VMS, 0.0, 0.0)
            due_s = position * 5.0
            self.assertEqual(len(watch.acquisitions(VMS, VMS, due_s, 0.0)), 1)
            if position:
                self.assertEqual(watch.acquisitions(VMS, VMS, due_s - 1.0, 0.0), ())
