"""Concurrent operators with a table that loses, delays and duplicates writes."""

import random
import unittest

import anyio
from hypothesis import given, seed, settings, strategies as st

from endivegw.commands.changes import Operation
from endivegw.commands.template import create_template, edit_template, load_template
from endivegw.configuration.documents import EMPTY_DOCUMENTS, apply_change
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.store import load_changes, load_documents
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw_standins.memory_table import MemoryTable

OPERATORS = 4
EDITS = 5


class FaultyTable(MemoryTable):
    """Lose responses before or after a write takes effect, and delay writes."""

    def __init__(self, source, share):
        super().__init__()
        self.random = source
        self.fault_share = share
        self.delayed = []

    async def transact(self, transaction, *, timeout_s):
        await self.pause()
        if self.random.random() >= self.fault_share:
            return self.transact_now(transaction)
        match self.random.choice(["before", "after", "late", "twice"]):
            case "after":
                self.transact_now(transaction)
            case "late":
                self.delayed.append(transaction)
            case "twice":
                self.transact_now(transaction)
                self.delayed.append(transaction)
        return Unknown(Reason.TIMEOUT, "lost")

    async def read(self, keys, *, timeout_s):
        await self.pause()
        return await super().read(keys, timeout_s=timeout_s)

    async def pause(self):
        for _ in range(self.random.randrange(3)):
            await anyio.sleep(0)
        if self.delayed and self.random.random() < 0.3:
            self.transact_now(self.delayed.pop(0))


class RacingOperatorsTests(unittest.TestCase):
    @seed(11)
    @settings(max_examples=80, deadline=None, database=None, derandomize=True)
    @given(number=st.integers(0, 2**32), share=st.floats(0.0, 0.6))
    def test_each_command_takes_effect_as_reported(self, number, share):
        """
        Four operators edit two templates concurrently. Responses are lost, and copies
        of writes arrive after the command has abandoned them. A change reported as
        done must be in the history once, a change reported as refused must not be in
        it, and the documents must result from the history.
        """
        source = random.Random(number)
        table = FaultyTable(source, share)
        outcomes = {}

        async def operator(name):
            for count in range(EDITS):
                operation = Operation(f"{name}-{count}", name, 1000.0)
                template = source.choice(["a", "b"])
                seen = await load_template(table, operation, template)
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
            for transaction in table.delayed:
                table.transact_now(transaction)
            table.fault_share = 0.0
            table.delayed = []
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
        expected = EMPTY_DOCUMENTS
        for change in changes:
            expected = apply_change(expected, change)
        self.assertEqual(documents, expected)
