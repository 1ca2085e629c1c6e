"""Operators race over a table that loses, delays and doubles writes."""

import random
import unittest

import anyio
from hypothesis import given, seed, settings, strategies as st

from endivegw.commands.changes import Operation
from endivegw.commands.template import create_template, edit_template, see_template
from endivegw.configuration.documents import EMPTY_DOCUMENTS, apply_change
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.store import load_changes, load_documents
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw_standins.memory_table import MemoryTable

OPERATORS = 4
EDITS = 5


class ChaosTable(MemoryTable):
    """Lose answers before and after the effect, and let writes arrive late."""

    def __init__(self, source, share):
        super().__init__()
        self.random = source
        self.share = share
        self.late = []

    async def transact(self, transaction, *, timeout_s):
        await self.pause()
        if self.random.random() >= self.share:
            return self.transact_now(transaction)
        match self.random.choice(["before", "after", "late", "twice"]):
            case "after":
                self.transact_now(transaction)
            case "late":
                self.late.append(transaction)
            case "twice":
                self.transact_now(transaction)
                self.late.append(transaction)
        return Unknown(Reason.TIMEOUT, "lost")

    async def read(self, keys, *, timeout_s):
        await self.pause()
        return await super().read(keys, timeout_s=timeout_s)

    async def pause(self):
        for _ in range(self.random.randrange(3)):
            await anyio.sleep(0)
        if self.late and self.random.random() < 0.3:
            self.transact_now(self.late.pop(0))


class RacingOperatorsTests(unittest.TestCase):
    @seed(11)
    @settings(max_examples=80, deadline=None, database=None, derandomize=True)
    @given(number=st.integers(0, 2**32), share=st.floats(0.0, 0.6))
    def test_each_command_takes_effect_as_it_says(self, number, share):
        """
        Four operators edit two templates at the same time. Answers get lost,
        and copies of writes arrive after the command has given them up. What
        a command called done is in the history once, what it called not done
        is not there, and the documents are those that the history makes.
        """
        source = random.Random(number)
        table = ChaosTable(source, share)
        outcomes = {}

        async def operator(name):
            for count in range(EDITS):
                operation = Operation(f"{name}-{count}", name, 1000.0)
                template = source.choice(["a", "b"])
                seen = await see_template(table, operation, template)
                parameters = Parameters(weight=source.uniform(1, 9))
                if isinstance(seen, Done):
                    result = await edit_template(
                        table, operation, seen.value, parameters
                    )
                else:
                    result = await create_template(
                        table, operation, template, parameters
                    )
                outcomes[operation.operation_id] = result

        async def run():
            async with anyio.create_task_group() as tasks:
                for index in range(OPERATORS):
                    tasks.start_soon(operator, f"operator-{index}")
            for transaction in table.late:
                table.transact_now(transaction)
            table.share = 0.0
            table.late = []
            changes = (await load_changes(table, 0, timeout_s=1)).value
            return changes, (await load_documents(table, timeout_s=1)).value

        changes, documents = anyio.run(run)
        written = [change.operation_id for change in changes]
        self.assertEqual(len(written), len(set(written)))
        for operation_id, result in outcomes.items():
            match result:
                case Done(outcome):
                    self.assertEqual(
                        changes[outcome.change.revision - 1], outcome.change
                    )
                case Refused():
                    self.assertNotIn(operation_id, written)
        made = EMPTY_DOCUMENTS
        for change in changes:
            made = apply_change(made, change)
        self.assertEqual(documents, made)
