"""Revisions never decrease, and each change reaches all reachable processes."""

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
from endivegw.configuration.spread import PullFromPeer, ReadAllDocuments, SyncScheduler
from endivegw.configuration.view import (
    Adopted,
    ConfigurationView,
    Gap,
    NothingNew,
    PeerRevision,
)
from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason
from endivegw_standins.spread_world import SimulationSettings, SyncSimulation

SMALL = SimulationSettings(routers=4, sidecars=5, routers_per_sidecar=2)


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


def make_peer_revision(peer, zone, revision, now_s=0.0):
    return PeerRevision(peer, zone, revision, now_s)


class ViewTests(unittest.TestCase):
    def test_older_copy_changes_nothing(self):
        """
        A slow peer's response or an outdated object arrives after a newer copy. The
        newer configuration must stay in force.
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

    def test_lower_revision_that_passes_the_checks_raises(self):
        """A bug that bypasses the checks must raise and not decrease the revision."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(7)))
        with self.assertRaises(InvariantError):
            view._replace(documents(6), EMPTY_SNAPSHOT, ())
        self.assertEqual(view.revision, 7)

    def test_changes_with_a_gap_are_not_applied(self):
        """
        The message with change 4 is lost and change 5 arrives. Applying change 5
        alone would omit change 4 permanently.
        """
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        self.assertEqual(view.adopt(ChangesMessage(4, changes(5, 5))), Gap(3))
        self.assertEqual(view.revision, 3)
        with self.assertRaises(InvariantError):
            apply_change(documents(3), changes(5, 5)[0])

    def test_only_the_new_ones_of_overlapping_changes_are_applied(self):
        """Two peers respond with overlapping changes; each change is applied once."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        self.assertEqual(view.adopt(ChangesMessage(1, changes(2, 6))), Adopted(3, 6))
        self.assertEqual(view.snapshot, resolve(documents(6)))

    def test_lagging_peer_gets_only_missing_changes(self):
        """A peer one change behind gets that change; a new one gets all documents."""
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        view.on_table_revision(3)
        view.adopt(ChangesMessage(3, changes(4, 6)))
        self.assertEqual(view.message_since(5), ChangesMessage(5, changes(6, 6)))
        self.assertEqual(view.message_since(1), DocumentsMessage(documents(6)))
        self.assertIsNone(view.message_since(6))

    def test_outdated_object_alone_never_makes_a_process_ready(self):
        """
        All processes restart while the table is unavailable, and load an outdated
        copy from the object store. If they made each other ready, all would serve
        with it, and a change committed before the outage would be undone.
        """
        views = [ConfigurationView("a") for _ in range(6)]
        for view in views:
            view.update_fleet_size({"a": 3, "b": 2})
            view.adopt(DocumentsMessage(documents(3)))
        for now_s in range(100):
            for view in views:
                for number, other in enumerate(views):
                    zone = "a" if number % 2 else "b"
                    announced = other.announced_revision
                    view.on_peer_revision(
                        make_peer_revision(f"p{number}", zone, announced, float(now_s))
                    )
        self.assertEqual({view.ready for view in views}, {False})
        self.assertIsNone(views[0].message_since(0))

    def test_quorum_of_peers_replaces_the_table(self):
        """
        One process restarts while the table is unavailable. Three serving peers in
        two zones make it ready once it has the newest of their revisions.
        """
        view = ConfigurationView("a")
        view.update_fleet_size({"a": 10, "b": 10})
        view.adopt(DocumentsMessage(documents(3)))
        view.on_peer_revision(make_peer_revision("p1", "a", 5))
        view.on_peer_revision(make_peer_revision("p2", "a", 5))
        view.on_peer_revision(make_peer_revision("p3", "a", 5))
        self.assertIs(view.ready, False)
        view.on_peer_revision(make_peer_revision("p4", "b", 4))
        self.assertIs(view.ready, False)
        view.adopt(ChangesMessage(3, changes(4, 5)))
        view.on_peer_revision(make_peer_revision("p4", "b", 4, 1.0))
        self.assertIs(view.ready, True)

    def test_table_with_a_newer_revision_does_not_make_ready_yet(self):
        """
        The table reports a newer revision, but its changes are lost. A process that
        became ready now would serve with an outdated configuration.
        """
        view = ConfigurationView()
        view.adopt(DocumentsMessage(documents(3)))
        view.on_table_revision(4)
        self.assertIs(view.ready, False)
        view.adopt(ChangesMessage(3, changes(4, 4)))
        view.on_table_revision(4)
        self.assertIs(view.ready, True)

    def test_outdated_peer_revisions_do_not_count(self):
        """A peer that sent nothing for long may be dead or partitioned by now."""
        view = ConfigurationView("a")
        view.update_fleet_size({"a": 10, "b": 10})
        view.on_peer_revision(make_peer_revision("p1", "a", 1, 0.0))
        view.on_peer_revision(make_peer_revision("p2", "b", 1, 1.0))
        view.adopt(DocumentsMessage(documents(1)))
        view.on_peer_revision(make_peer_revision("p3", "b", 1, 20.0))
        self.assertIs(view.ready, False)

    def test_process_in_an_isolated_zone_becomes_ready(self):
        """
        A zone is isolated from all others and from the table, and one of its routers
        restarts. More than half of the zone's processes make it ready, fewer do not.
        """
        view = ConfigurationView("a")
        view.update_fleet_size({"a": 5, "b": 9})
        view.adopt(DocumentsMessage(documents(2)))
        view.on_peer_revision(make_peer_revision("p1", "a", 2))
        view.on_peer_revision(make_peer_revision("p2", "a", 2))
        self.assertIs(view.ready, False)
        view.on_peer_revision(make_peer_revision("p3", "a", 2))
        self.assertIs(view.ready, True)


class SyncSchedulerTests(unittest.TestCase):
    def test_gap_causes_an_immediate_complete_load(self):
        """
        There is a gap between a peer's changes and the revision of the process.
        Waiting for the next poll would delay the change by seconds.
        """
        view = ConfigurationView()
        scheduler = SyncScheduler(view, random.Random(1))
        scheduler.start(0.0)
        view.adopt(DocumentsMessage(documents(3)))
        scheduler.due(1.0)
        scheduler.on_table_changes(3, (), 1.0)
        scheduler.on_peer_revision(make_peer_revision("p1", "a", 6, 1.5))
        scheduler.due(1.8)
        scheduler.on_peer_message("p1", ChangesMessage(4, changes(5, 6)), 1.9)
        self.assertEqual(scheduler.due(1.9), (ReadAllDocuments(),))

    def test_peer_that_does_not_respond_is_skipped(self):
        """
        A process receives a newer revision from two peers, one of which it cannot
        reach. Retrying only that one would delay the change indefinitely.
        """
        scheduler = SyncScheduler(ConfigurationView(), random.Random(1))
        scheduler.start(0.0)
        now_s, asked = 0.0, []
        while now_s < 10.0:
            for peer in ("deaf", "good"):
                scheduler.on_peer_revision(make_peer_revision(peer, "a", 6, now_s))
            for action in scheduler.due(now_s):
                if isinstance(action, PullFromPeer):
                    asked.append(action.peer)
                    scheduler.on_peer_failure(action.peer, now_s + 0.1)
            now_s += 0.1
        first_two = asked[:2]
        self.assertEqual(sorted(first_two), ["deaf", "good"])
        # Neither peer responds, so each is retried with exponential back-off.
        self.assertLessEqual(len(asked), 10)
        self.assertGreaterEqual(len(asked), 6)


class CodecTests(unittest.TestCase):
    def test_messages_round_trip(self):
        """Both kinds of message decode to what was encoded."""
        for message in (
            DocumentsMessage(documents(4)),
            DocumentsMessage(EMPTY_DOCUMENTS),
            ChangesMessage(2, changes(3, 5)),
        ):
            self.assertEqual(parse_message(encode_message(message)), Done(message))

    def test_damaged_bytes_are_refused(self):
        """
        A connection breaks during a transfer, or a store returns garbage. The message
        must be refused, so that the process keeps its configuration.
        """
        encoded = encode_message(DocumentsMessage(documents(4)))
        for body in (b"", b"garbage", encoded[:-3], encoded[:5]):
            self.assertEqual(parse_message(body).reason, Reason.BAD_REQUEST)

    def test_decompression_bomb_is_refused(self):
        """A malicious peer must not exhaust a daemon's memory with a small message."""
        import zlib

        bomb = zlib.compress(b"0" * (64 * 1024 * 1024))
        self.assertEqual(parse_message(bomb).reason, Reason.BAD_REQUEST)


class SimulationTests(unittest.TestCase):
    def simulation(self, number=1, shape=SMALL):
        simulation = SyncSimulation(shape, random.Random(number))
        simulation.commit("t", 1.0)
        simulation.run_until(10.0)
        return simulation

    def test_change_propagates_within_seven_seconds_by_polling_alone(self):
        """
        No process receives messages of another, and the table takes 1.5 s for each
        response. By polling alone, a change must reach all processes within 7 s.
        """
        shape = SimulationSettings(routers=4, sidecars=5, table_delay_s=1.5)
        for number in range(20):
            simulation = self.simulation(number, shape)
            simulation.partitioned = lambda one, other: one >= 0 and other >= 0
            simulation.run_until(20.0 + number / 3)
            start_s = simulation.now_s
            simulation.commit("t", 2.0)
            simulation.run_until(start_s + 7.0)
            self.assertEqual(simulation.count_serving(2), 9)

    def test_change_reaches_processes_partitioned_from_the_table(self):
        """
        Only one router reaches the table when a change is committed. The other
        processes must get the change from peers.
        """
        simulation = self.simulation()
        simulation.partitioned = lambda one, other: one == -1 and other != 0
        simulation.commit("t", 2.0)
        simulation.run_until(simulation.now_s + 15.0)
        self.assertEqual(simulation.count_serving(2), 9)

    def test_restart_of_all_during_an_outage_is_ready_only_after_it(self):
        """
        The object store has revision 1 and revision 2 was in force when the table
        becomes unavailable and every process restarts. Serving with revision 1 would
        undo a change that was in force.
        """
        simulation = self.simulation()
        simulation.run_until(200.0)
        self.assertEqual(simulation.stored.revision, 1)
        simulation.commit("t", 2.0)
        simulation.run_until(200.0 + 7.0)
        self.assertEqual(simulation.count_serving(2), 9)
        simulation.stored = Documents(1, simulation.stored.by_name)
        simulation.objects_up = True
        simulation.table_up = False
        for process in simulation.processes:
            simulation.restart(process)
        simulation.run_until(400.0)
        self.assertEqual(
            [p.scheduler.view.ready for p in simulation.processes], [False] * 9
        )
        simulation.table_up = True
        simulation.run_until(407.0)
        self.assertEqual(simulation.count_serving(2), 9)

    def test_single_restart_during_an_outage_becomes_ready(self):
        """
        A router is replaced while the table is unavailable. Its peers have the newest
        configuration, so there is no reason for it to refuse requests.
        """
        simulation = self.simulation()
        simulation.table_up = False
        simulation.objects_up = False
        simulation.run_until(60.0)
        simulation.restart(simulation.processes[0])
        simulation.run_until(80.0)
        self.assertIs(simulation.processes[0].scheduler.view.ready, True)

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
        duplication=st.floats(0.0, 0.5),
        extra_delay_s=st.floats(0.0, 3.0),
    )
    def test_random_faults_never_decrease_a_revision(
        self, number, steps, loss, duplication, extra_delay_s
    ):
        """
        Messages are lost, duplicated and delayed, groups are partitioned in one or
        both directions, stores become unavailable, processes restart, and operators
        commit changes. No process may decrease its revision or mix two revisions, and
        15 s after the faults end all must serve with the newest.
        """
        simulation = self.simulation(number)
        simulation.loss, simulation.duplication = loss, duplication
        simulation.extra_delay_s = extra_delay_s
        for step, value, wait_s in steps:
            self.apply_step(simulation, step, value)
            simulation.run_until(simulation.now_s + wait_s)
            for process in simulation.processes:
                view = process.scheduler.view
                self.assertLessEqual(view.revision, simulation.documents.revision)
                if view.revision:
                    expected = simulation.history[view.revision - 1].puts[0]
                    self.assertEqual(view.documents.template("t"), expected)
        simulation.table_up = simulation.objects_up = True
        simulation.partitioned = lambda one, other: False
        simulation.run_until(simulation.now_s + 15.0)
        self.assertEqual(simulation.count_serving(simulation.documents.revision), 9)

    def apply_step(self, simulation, step, value):
        match step:
            case "commit":
                if simulation.table_up:
                    simulation.commit("t", 1.0 + value)
            case "restart":
                simulation.restart(simulation.processes[value % 9])
            case "all":
                for process in simulation.processes:
                    simulation.restart(process)
            case "table":
                simulation.table_up = not simulation.table_up
            case "objects":
                simulation.objects_up = not simulation.objects_up
            case "cut":
                side = value
                simulation.partitioned = lambda one, other: (
                    (side >> (one % 9)) & 1 != (side >> (other % 9)) & 1
                )
            case "oneway":
                side = value
                simulation.partitioned = lambda one, other: bool(
                    (side >> (one % 9)) & ~(side >> (other % 9)) & 1
                )
            case "mend":
                simulation.partitioned = lambda one, other: False
