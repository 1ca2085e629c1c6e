"""A configuration never goes back, and reaches everyone whom a path leads to."""

import random
import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.configuration.codec import (
    ChangesMessage,
    DocumentsMessage,
    encode_message,
    parse_message,
)
from endivegw.configuration.documents import (
    EMPTY_DOCUMENTS,
    Change,
    Documents,
    TemplateDocument,
    apply_change,
    resolve,
)
from endivegw.configuration.model import EMPTY_SNAPSHOT
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.spread import PullPeer, ReadAllFromTable, Spread
from endivegw.configuration.view import (
    Adopted,
    ConfigurationView,
    Gap,
    NothingNew,
    PeerWord,
)
from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason
from endivegw_standins.spread_world import SpreadWorld, WorldSettings

SMALL = WorldSettings(routers=4, sidecars=5, heard_by=2)


def changes(first, last):
    return tuple(
        Change(
            number,
            f"op-{number}",
            "ana",
            0.0,
            "",
            (TemplateDocument("t", Parameters(weight=float(number))),),
        )
        for number in range(first, last + 1)
    )


def documents(revision):
    result = EMPTY_DOCUMENTS
    for change in changes(1, revision):
        result = apply_change(result, change)
    return result


def word(peer, zone, revision, now_s=0.0):
    return PeerWord(peer, zone, revision, now_s)


class ViewTests(unittest.TestCase):
    def test_older_copy_changes_nothing(self):
        """
        A slow peer's answer, or an old object, arrives after a newer one. The
        newer configuration stays in force.
        """
        view = ConfigurationView()
        self.assertEqual(view.adopt(DocumentsMessage(documents(7))), Adopted(0, 7))
        for message in (
            DocumentsMessage(documents(6)),
            DocumentsMessage(documents(7)),
            ChangesMessage(3, changes(4, 7)),
        ):
            self.assertEqual(view.adopt(message), NothingNew())
        self.assertEqual(view.revision, 7)

    def test_lower_revision_past_the_checks_raises(self):
        """A mistake in the program itself ends the operation, not the promise."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(7)))
        with self.assertRaises(InvariantError):
            view._take(documents(6), EMPTY_SNAPSHOT, ())
        self.assertEqual(view.revision, 7)

    def test_changes_with_a_gap_are_not_taken(self):
        """
        The message with change 4 is lost and 5 arrives. Taking 5 alone would
        leave change 4 out for good.
        """
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        self.assertEqual(view.adopt(ChangesMessage(4, changes(5, 5))), Gap(3))
        self.assertEqual(view.revision, 3)
        with self.assertRaises(InvariantError):
            apply_change(documents(3), changes(5, 5)[0])

    def test_overlapping_changes_are_taken_from_where_they_are_new(self):
        """Two peers answer at once; what both hold is applied once."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        self.assertEqual(view.adopt(ChangesMessage(1, changes(2, 6))), Adopted(3, 6))
        self.assertEqual(view.snapshot, resolve(documents(6)))

    def test_lagging_peer_gets_only_what_it_lacks(self):
        """A peer one change behind gets that change; a fresh one gets all."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        view.heard_table(3)
        view.adopt(ChangesMessage(3, changes(4, 6)))
        self.assertEqual(view.message_since(5), ChangesMessage(5, changes(6, 6)))
        self.assertEqual(view.message_since(1), DocumentsMessage(documents(6)))
        self.assertIsNone(view.message_since(6))

    def test_old_object_alone_never_makes_a_process_serve(self):
        """
        All processes restart while the table is away. Each finds the object
        store's old copy. If they vouched for each other they would all serve
        by it, and a change accepted before the outage would be undone.
        """
        views = [ConfigurationView("a") for _ in range(6)]
        for view in views:
            view.fleet_known({"a": 3, "b": 2})
            view.adopt(DocumentsMessage(documents(3)))
        for now_s in range(100):
            for view in views:
                for number, other in enumerate(views):
                    zone = "a" if number % 2 else "b"
                    said = other.announced_revision
                    view.heard_peer(word(f"p{number}", zone, said, float(now_s)))
        self.assertEqual({view.ready for view in views}, {False})
        self.assertIsNone(views[0].message_since(0))

    def test_enough_peers_stand_in_for_the_table(self):
        """
        One process restarts while the table is away. Three peers in two
        zones that serve are enough, once it holds what the newest of them has.
        """
        view = ConfigurationView("a")
        view.fleet_known({"a": 10, "b": 10})
        view.adopt(DocumentsMessage(documents(3)))
        view.heard_peer(word("p1", "a", 5))
        view.heard_peer(word("p2", "a", 5))
        view.heard_peer(word("p3", "a", 5))
        self.assertIs(view.ready, False)
        view.heard_peer(word("p4", "b", 4))
        self.assertIs(view.ready, False)
        view.adopt(ChangesMessage(3, changes(4, 5)))
        view.heard_peer(word("p4", "b", 4, 1.0))
        self.assertIs(view.ready, True)

    def test_table_with_a_newer_revision_does_not_make_ready_yet(self):
        """
        The table answers that there is a newer revision, and the rest of the
        answer is lost. Serving at once would be under an old configuration.
        """
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        view.heard_table(4)
        self.assertIs(view.ready, False)
        view.adopt(ChangesMessage(3, changes(4, 4)))
        view.heard_table(4)
        self.assertIs(view.ready, True)

    def test_words_that_are_old_do_not_count(self):
        """A peer heard long ago may have died or been cut off since."""
        view = ConfigurationView("a")
        view.fleet_known({"a": 10, "b": 10})
        view.heard_peer(word("p1", "a", 1, 0.0))
        view.heard_peer(word("p2", "b", 1, 1.0))
        view.adopt(DocumentsMessage(documents(1)))
        view.heard_peer(word("p3", "b", 1, 20.0))
        self.assertIs(view.ready, False)

    def test_zone_cut_off_from_all_others_can_restart_a_process(self):
        """
        A zone is cut off, the table with it, and one router there restarts.
        More than half of the zone's processes are enough, fewer are not.
        """
        view = ConfigurationView("a")
        view.fleet_known({"a": 5, "b": 9})
        view.adopt(DocumentsMessage(documents(2)))
        view.heard_peer(word("p1", "a", 2))
        view.heard_peer(word("p2", "a", 2))
        self.assertIs(view.ready, False)
        view.heard_peer(word("p3", "a", 2))
        self.assertIs(view.ready, True)


class SpreadTests(unittest.TestCase):
    def test_gap_is_closed_from_the_table_at_once(self):
        """
        A peer's changes do not join up with what the process has. Waiting for
        the next poll would add seconds to the way of the change.
        """
        view = ConfigurationView()
        spread = Spread(view, random.Random(1))
        spread.start(0.0)
        view.adopt(DocumentsMessage(documents(3)))
        spread.due(1.0)
        spread.table_gave_changes(3, (), 1.0)
        spread.heard(word("p1", "a", 6, 1.5))
        spread.due(1.8)
        spread.peer_gave("p1", ChangesMessage(4, changes(5, 6)), 1.9)
        self.assertEqual(spread.due(1.9), (ReadAllFromTable(),))

    def test_peer_that_does_not_answer_is_passed_over(self):
        """
        A process hears two peers with a newer revision, one of which cannot
        hear it. Asking that one again and again would keep the change away.
        """
        spread = Spread(ConfigurationView(), random.Random(1))
        spread.start(0.0)
        now_s, asked = 0.0, []
        while now_s < 10.0:
            for peer in ("deaf", "good"):
                spread.heard(word(peer, "a", 6, now_s))
            for action in spread.due(now_s):
                if isinstance(action, PullPeer):
                    asked.append(action.peer)
                    spread.peer_failed(action.peer, now_s + 0.1)
            now_s += 0.1
        firsts = asked[:2]
        self.assertEqual(sorted(firsts), ["deaf", "good"])
        # Neither answers here: each is asked after pauses that double.
        self.assertLessEqual(len(asked), 10)
        self.assertGreaterEqual(len(asked), 6)


class CodecTests(unittest.TestCase):
    def test_messages_come_back_as_they_were(self):
        """Both kinds of message survive the wire."""
        for message in (
            DocumentsMessage(documents(4)),
            DocumentsMessage(EMPTY_DOCUMENTS),
            ChangesMessage(2, changes(3, 5)),
        ):
            self.assertEqual(parse_message(encode_message(message)), Done(message))

    def test_damaged_bytes_are_refused(self):
        """
        A connection breaks in the middle, or a store returns garbage. The
        process keeps what it has.
        """
        whole = encode_message(DocumentsMessage(documents(4)))
        for body in (b"", b"garbage", whole[:-3], whole[:5]):
            self.assertEqual(parse_message(body).reason, Reason.BAD_REQUEST)

    def test_bytes_that_unpack_to_gigabytes_are_refused(self):
        """A hostile peer must not fill a daemon's memory with a small message."""
        import zlib

        bomb = zlib.compress(b"0" * (64 * 1024 * 1024))
        self.assertEqual(parse_message(bomb).reason, Reason.BAD_REQUEST)


class WorldTests(unittest.TestCase):
    def world(self, number=1, shape=SMALL):
        world = SpreadWorld(shape, random.Random(number))
        world.commit("t", 1.0)
        world.run_until(10.0)
        return world

    def test_change_is_everywhere_within_seven_seconds_by_the_table_alone(self):
        """
        No process hears another, and the table takes 1.5 s for each answer.
        Polling alone must still carry a change everywhere within 7 s.
        """
        shape = WorldSettings(routers=4, sidecars=5, table_delay_s=1.5)
        for number in range(20):
            world = self.world(number, shape)
            world.cut = lambda one, other: one >= 0 and other >= 0
            world.run_until(20.0 + number / 3)
            start_s = world.now_s
            world.commit("t", 2.0)
            world.run_until(start_s + 7.0)
            self.assertEqual(world.holding(2), 9)

    def test_change_reaches_processes_that_the_table_does_not(self):
        """
        Only one router still reaches the table when a change is accepted.
        The rest learn of it from heartbeats.
        """
        world = self.world()
        world.cut = lambda one, other: one == -1 and other != 0
        world.commit("t", 2.0)
        world.run_until(world.now_s + 15.0)
        self.assertEqual(world.holding(2), 9)

    def test_restart_of_all_during_an_outage_serves_only_after_it(self):
        """
        The object store holds revision 1, revision 2 was in force, the table
        goes away and every process restarts. Serving under revision 1 would
        take back a change that was in force.
        """
        world = self.world()
        world.run_until(200.0)
        self.assertEqual(world.stored.revision, 1)
        world.commit("t", 2.0)
        world.run_until(200.0 + 7.0)
        self.assertEqual(world.holding(2), 9)
        world.stored = Documents(1, world.stored.by_name)
        world.objects_up = True
        world.table_up = False
        for process in world.processes:
            world.restart(process)
        world.run_until(400.0)
        self.assertEqual([p.spread.view.ready for p in world.processes], [False] * 9)
        world.table_up = True
        world.run_until(407.0)
        self.assertEqual(world.holding(2), 9)

    def test_one_restart_during_an_outage_comes_back(self):
        """
        A router is replaced while the table is away. Its peers hold the newest
        configuration, so that refusing callers there would be for nothing.
        """
        world = self.world()
        world.table_up = False
        world.objects_up = False
        world.run_until(60.0)
        world.restart(world.processes[0])
        world.run_until(80.0)
        self.assertIs(world.processes[0].spread.view.ready, True)

    @seed(7)
    @settings(max_examples=60, deadline=None, database=None, derandomize=True)
    @given(
        number=st.integers(0, 2**32),
        steps=st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "commit",
                        "restart",
                        "table",
                        "objects",
                        "cut",
                        "oneway",
                        "mend",
                        "all",
                    ]
                ),
                st.integers(0, 511),
                st.floats(0.0, 12.0),
            ),
            max_size=25,
        ),
        loss=st.floats(0.0, 0.4),
        doubling=st.floats(0.0, 0.5),
        extra_delay_s=st.floats(0.0, 3.0),
    )
    def test_random_faults_never_take_a_revision_back(
        self, number, steps, loss, doubling, extra_delay_s
    ):
        """
        Messages get lost, doubled and late, groups are cut off in one or both
        directions, stores go away, processes restart, and operators go on
        changing. No process ever goes back or mixes two revisions, and soon
        after the faults end all serve under the newest.
        """
        world = self.world(number)
        world.loss, world.doubling = loss, doubling
        world.extra_delay_s = extra_delay_s
        for step, value, wait_s in steps:
            self.take(world, step, value)
            world.run_until(world.now_s + wait_s)
            for process in world.processes:
                view = process.spread.view
                self.assertLessEqual(view.revision, world.documents.revision)
                if view.revision:
                    expected = world.history[view.revision - 1].puts[0]
                    self.assertEqual(view.documents.template("t"), expected)
        world.table_up = world.objects_up = True
        world.cut = lambda one, other: False
        world.run_until(world.now_s + 15.0)
        self.assertEqual(world.holding(world.documents.revision), 9)

    def take(self, world, step, value):
        match step:
            case "commit":
                if world.table_up:
                    world.commit("t", 1.0 + value)
            case "restart":
                world.restart(world.processes[value % 9])
            case "all":
                for process in world.processes:
                    world.restart(process)
            case "table":
                world.table_up = not world.table_up
            case "objects":
                world.objects_up = not world.objects_up
            case "cut":
                side = value
                world.cut = lambda one, other: (
                    (side >> (one % 9)) & 1 != (side >> (other % 9)) & 1
                )
            case "oneway":
                side = value
                world.cut = lambda one, other: bool(
                    (side >> (one % 9)) & ~(side >> (other % 9)) & 1
                )
            case "mend":
                world.cut = lambda one, other: False
