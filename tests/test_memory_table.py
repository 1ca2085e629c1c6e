"""The stand-in table provides the guarantees that the product depends on."""

import unittest

from endivegw.results import Done, Reason
from endivegw.services import Add, Put, RowKey, Transaction
from endivegw_standins.memory_table import MemoryTable

KEY = RowKey("budget", "lobby/main")


class MemoryTableTests(unittest.TestCase):
    def test_add_is_refused_below_the_minimum(self):
        """An addition with a minimum takes effect only if the field is large enough."""
        table = MemoryTable()
        table.transact_now(Transaction((Put(KEY, {"available": 5}, 0),)))
        draw = Transaction((Add(KEY, {"available": -4}, {"available": 4}),))
        self.assertEqual(table.transact_now(draw), Done(None))
        refused = table.transact_now(draw)
        self.assertEqual(refused.reason, Reason.CONFLICT)
        self.assertEqual(table.get(KEY).fields["available"], 1)

    def test_failed_condition_writes_nothing(self):
        """One failed condition leaves all rows of the transaction unchanged."""
        table = MemoryTable()
        other = RowKey("grant", "g1")
        writes = (Put(other, {"size": 1}, 0), Put(KEY, {"available": 1}, 7))
        self.assertEqual(
            table.transact_now(Transaction(writes)).reason, Reason.CONFLICT
        )
        self.assertIsNone(table.get(other))

    def test_pages_continue_after_the_last_row(self):
        """A listing in pages contains each row once, in order."""
        table = MemoryTable()
        for number in range(5):
            key = RowKey("p", f"a{number}")
            table.transact_now(Transaction((Put(key, {}, 0),)))
        first = table.page("p", "a", None, 3)
        rest = table.page("p", "a", first.next_sort, 3)
        names = [row.key.sort for row in first.rows + rest.rows]
        self.assertEqual(names, ["a0", "a1", "a2", "a3", "a4"])
        self.assertIsNone(rest.next_sort)
