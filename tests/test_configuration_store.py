"""Changes by operators are committed to the table exactly once or not at all."""

import unittest

import anyio

from endivegw.commands.account import (
    create_account,
    hash_key,
    rotate_key,
    set_account,
)
from endivegw.commands.changes import Operation
from endivegw.commands.target import drain_target, resume_target, set_target
from endivegw.commands.template import (
    create_template,
    delete_template,
    edit_template,
    load_template,
)
from endivegw.configuration import TargetKind, TargetParameters
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.store import load_changes, load_documents, load_snapshot
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import Put, RowKey, Transaction
from endivegw.types import Priority
from endivegw_standins.memory_table import MemoryTable


class LossyTable(MemoryTable):
    """Lose responses to writes ``"before"`` or ``"after"`` they take effect.

    A ``"late"`` write is held until the test applies it.
    """

    def __init__(self):
        super().__init__()
        self.losses = []
        self.held = []

    async def transact(self, transaction, *, timeout_s):
        loss = self.losses.pop(0) if self.losses else None
        match loss:
            case None:
                return self.transact_now(transaction)
            case "after":
                self.transact_now(transaction)
            case "late":
                self.held.append(transaction)
        return Unknown(Reason.TIMEOUT)


class Operators:
    def __init__(self):
        self.count = 0

    def __call__(self, operator="ana", dry_run=False):
        self.count += 1
        return Operation(f"op-{self.count}", operator, 1000.0 + self.count, dry_run)


class ConfigurationStoreTests(unittest.TestCase):
    def setUp(self):
        self.table = LossyTable()
        self.operation = Operators()

    def snapshot(self):
        return anyio.run(self.load).value

    async def load(self):
        return await load_snapshot(self.table, timeout_s=1)

    def test_account_inherits_unset_parameters_from_its_template(self):
        """An edit of a template affects its accounts except for overrides."""

        async def run():
            shared = Parameters(priority=Priority.URGENT, weight=2.0)
            await create_template(self.table, self.operation(), "kiosk", shared)
            await create_account(
                self.table,
                self.operation(),
                "lobby",
                template="kiosk",
                parameters=Parameters(weight=5.0),
            )
            seen = (await load_template(self.table, self.operation(), "kiosk")).value
            newer = Parameters(priority=Priority.BATCH, weight=3.0)
            await edit_template(self.table, self.operation(), seen, newer)

        anyio.run(run)
        snapshot = self.snapshot()
        self.assertEqual(snapshot.revision, 3)
        account = snapshot.accounts["lobby"]
        self.assertEqual((account.priority, account.weight), (Priority.BATCH, 5.0))

    def test_key_is_not_stored_and_rotation_retains_the_previous_key(self):
        """The table has only digests; after two rotations the first key is invalid."""

        async def run():
            first = await create_account(self.table, self.operation(), "lobby")
            second = await rotate_key(self.table, self.operation(), "lobby")
            third = await rotate_key(self.table, self.operation(), "lobby")
            return [created.value.key for created in (first, second, third)]

        first, second, third = anyio.run(run)
        snapshot = self.snapshot()
        self.assertIsNone(snapshot.find_account_by_key_hash(hash_key(first)))
        for key in (second, third):
            account = snapshot.find_account_by_key_hash(hash_key(key))
            self.assertEqual(account.client_account, "lobby")
        self.assertNotIn(first, repr(self.table.__dict__))

    def test_second_of_two_concurrent_edits_is_refused(self):
        """
        Two operators open the same template and both save it. Without the check, the
        second edit would silently undo the first one. The refusal shows the first.
        """

        async def run():
            await create_template(self.table, self.operation(), "kiosk", Parameters())
            ana = (await load_template(self.table, self.operation(), "kiosk")).value
            await edit_template(
                self.table, self.operation("ben"), ana, Parameters(weight=2.0)
            )
            return await edit_template(
                self.table, self.operation("ana"), ana, Parameters(weight=9.0)
            )

        conflict = anyio.run(run)
        self.assertEqual(conflict.reason, Reason.CONFLICT)
        self.assertIn("revision 2 by ben", conflict.detail)
        self.assertIn("weight: (not set) -> 2", conflict.detail)
        self.assertEqual(self.snapshot().revision, 2)

    def test_changes_of_different_documents_do_not_conflict(self):
        """Concurrent edits of different templates are both committed."""

        async def run():
            await create_template(self.table, self.operation(), "a", Parameters())
            await create_template(self.table, self.operation(), "b", Parameters())
            seen_a = (await load_template(self.table, self.operation(), "a")).value
            seen_b = (await load_template(self.table, self.operation(), "b")).value
            one = await edit_template(
                self.table, self.operation(), seen_a, Parameters(weight=2.0)
            )
            two = await edit_template(
                self.table, self.operation(), seen_b, Parameters(weight=2.0)
            )
            return one, two

        one, two = anyio.run(run)
        self.assertEqual(one.value.change.revision, 3)
        self.assertEqual(two.value.change.revision, 4)

    def test_template_in_use_is_not_deleted(self):
        """Deleting it would change accounts that the operator did not name."""

        async def run():
            await create_template(self.table, self.operation(), "kiosk", Parameters())
            await create_account(
                self.table, self.operation(), "lobby", template="kiosk"
            )
            refused = await delete_template(self.table, self.operation(), "kiosk")
            await set_account(self.table, self.operation(), "lobby", template="")
            deleted = await delete_template(self.table, self.operation(), "kiosk")
            missing = await create_account(
                self.table, self.operation(), "gate", template="kiosk"
            )
            return refused, deleted, missing

        refused, deleted, missing = anyio.run(run)
        self.assertEqual(refused.reason, Reason.CONFLICT)
        self.assertIsInstance(deleted, Done)
        self.assertEqual(missing.reason, Reason.NOT_FOUND)

    def test_write_with_a_lost_response_takes_effect_once(self):
        """
        The table applies the change, but its response is lost. The command must
        report the change as done and must not write it again.
        """

        async def run():
            self.table.losses = ["after"]
            return await create_account(self.table, self.operation(), "lobby")

        created = anyio.run(run)
        self.assertEqual(created.value.outcome.change.revision, 1)
        snapshot = self.snapshot()
        self.assertEqual(snapshot.revision, 1)
        account = snapshot.find_account_by_key_hash(hash_key(created.value.key))
        self.assertEqual(account.client_account, "lobby")

    def test_abandoned_write_that_arrives_later_has_no_effect(self):
        """
        A write is delayed in the network past its timeout and arrives later. It was
        reported to the operator as failed, so it must not take effect.
        """

        async def run():
            self.table.losses = ["late"]
            return await create_account(self.table, self.operation(), "lobby")

        abandoned = anyio.run(run)
        self.assertEqual(abandoned.reason, Reason.ANSWER_LOST)
        self.assertIsInstance(abandoned, Refused)
        late = self.table.transact_now(self.table.held[0])
        self.assertEqual(late.reason, Reason.CONFLICT)
        self.assertEqual(self.snapshot().accounts, {})

    def test_outcome_is_unknown_if_every_response_is_lost(self):
        """
        Every response is lost, also those to the attempts to determine the outcome.
        The command must report neither success nor failure.
        """

        async def run():
            self.table.losses = ["before"] * 20
            return await create_account(self.table, self.operation(), "lobby")

        self.assertIsInstance(anyio.run(run), Unknown)

    def test_repeated_operation_changes_nothing(self):
        """
        The outcome is unknown, and the operator repeats the command with the printed
        operation id. It must return the change of the first run. The key of an account
        cannot be shown again, and a new key must not be shown as valid.
        """

        async def run():
            operation = self.operation()
            first = await create_template(self.table, operation, "a", Parameters())
            second = await create_template(self.table, operation, "a", Parameters())
            operation = self.operation()
            await create_account(self.table, operation, "lobby")
            again = await create_account(self.table, operation, "lobby")
            return first, second, again

        first, second, again = anyio.run(run)
        self.assertIsInstance(first, Done)
        self.assertEqual(second.value.change, first.value.change)
        self.assertEqual(again.reason, Reason.ALREADY_RUN)
        self.assertEqual(self.snapshot().revision, 2)

    def test_dry_run_writes_nothing(self):
        """A dry run returns the change and writes no rows."""

        async def run():
            return await create_account(
                self.table, self.operation(dry_run=True), "lobby"
            )

        outcome = anyio.run(run).value.outcome
        self.assertIs(outcome.dry_run, True)
        self.assertEqual(self.table.writes, 0)

    def test_drained_target_stays_drained_when_its_description_changes(self):
        """Setting a new version must not resume a target that is being repaired."""

        async def run():
            engine = TargetParameters("t1", TargetKind.ENGINE, "erie", ("m",))
            await set_target(self.table, self.operation(), engine)
            await drain_target(self.table, self.operation(), "t1")
            newer = TargetParameters("t1", TargetKind.ENGINE, "erie", ("m", "n"))
            await set_target(self.table, self.operation(), newer)

        anyio.run(run)
        target = self.snapshot().targets["t1"]
        self.assertEqual((target.serves, target.drained), (("m", "n"), True))
        anyio.run(resume_target, self.table, self.operation(), "t1")
        self.assertIs(self.snapshot().targets["t1"].drained, False)

    def test_change_between_two_pages_does_not_mix_revisions(self):
        """
        While a process reads all documents, an operator deletes a document that was
        already read and adds one of a kind that was not. The result must be the
        state of a single revision.
        """
        table, operation = self.table, self.operation

        class Interrupted:
            scans = 0
            read = staticmethod(table.read)

            async def scan(self, partition, **arguments):
                page = await table.scan(partition, **arguments)
                self.scans += 1
                if self.scans == 1:
                    await delete_template(table, operation(), "old")
                    await create_account(table, operation(), "lobby")
                return page

        async def run():
            await create_template(table, operation(), "old", Parameters())
            return await load_documents(Interrupted(), timeout_s=1)

        documents = anyio.run(run).value
        self.assertEqual(documents.revision, 3)
        names = [str(name) for name in documents.by_name]
        self.assertEqual(names, ["account lobby"])

    def test_malformed_row_is_refused_and_unknown_parameter_ignored(self):
        """
        A row is written manually, or a newer version writes a parameter that this
        version does not know. Neither may terminate a daemon.
        """

        async def run():
            await create_template(
                self.table, self.operation(), "kiosk", Parameters(weight=2.0)
            )
            key = RowKey("config-template", "kiosk")
            row = self.table.get(key)
            newer = row.fields["document"].replace("{", '{"x":1,', 1)
            newer = newer.replace('"parameters":{', '"parameters":{"colour":"red",')
            put = Put(key, {"document": newer}, None)
            self.table.transact_now(Transaction((put,)))
            first = await load_documents(self.table, timeout_s=1)
            put = Put(key, {"document": "{}"}, None)
            self.table.transact_now(Transaction((put,)))
            return first, await load_documents(self.table, timeout_s=1)

        newer, broken = anyio.run(run)
        template = newer.value.template("kiosk")
        self.assertEqual(template.parameters, Parameters(weight=2.0))
        self.assertEqual(broken.reason, Reason.BAD_REQUEST)

    def test_missing_change_is_detected(self):
        """
        A row of the history was removed manually. A process must not skip the change
        and consider itself up to date.
        """

        async def run():
            for name in ("a", "b", "c"):
                await create_template(self.table, self.operation(), name, Parameters())
            rows = self.table._partitions["config-change"]
            del rows["000000000002"]
            self.table._sort_keys["config-change"].remove("000000000002")
            return await load_changes(self.table, 0, timeout_s=1)

        self.assertEqual(anyio.run(run).reason, Reason.NOT_FOUND)
