"""Which requests were in progress at a target as it ended."""

from __future__ import annotations

import unittest

from endivegw.quarantine import Fingerprint, LostSends, TargetStart, fingerprint_of
from endivegw.types import ClientAccountName, InstanceId

START = TargetStart(InstanceId("e-1"), 5)
ADDRESS = "10.0.0.1:80"
ONE, TWO = Fingerprint("one"), Fingerprint("two")


class FingerprintTests(unittest.TestCase):
    """A request's repeats bear its name, and no other request does."""

    def test_each_part_counts(self) -> None:
        """The name follows from method, host, path, account and body alone."""
        hotel = ClientAccountName("hotel")
        parts = (b"POST", "h", b"/a/b", hotel, b"body")
        name = fingerprint_of(*parts)
        self.assertEqual(name, fingerprint_of(*parts))
        others = [
            (b"PUT", "h", b"/a/b", hotel, b"body"),
            (b"POST", "i", b"/a/b", hotel, b"body"),
            (b"POST", "h", b"/a/c", hotel, b"body"),
            (b"POST", "h", b"/a/b", ClientAccountName("inn"), b"body"),
            (b"POST", "h", b"/a/b", None, b"body"),
            (b"POST", "h", b"/a/b", hotel, b"bodi"),
            (b"POST", "h", b"/a/bh", ClientAccountName("otel"), b"body"),
        ]
        self.assertEqual(len({name, *(fingerprint_of(*other) for other in others)}), 8)
        self.assertEqual(len(name), 16)


class LostSendsTests(unittest.TestCase):
    """A lost send counts once its target is known to have ended."""

    def test_a_cut_connection_alone_is_no_evidence(self) -> None:
        """Guards against blaming requests for connections that the network resets."""
        sends = LostSends()
        self.assertFalse(sends.lose(START, ADDRESS, ONE, 1.0))
        self.assertFalse(sends.has_ended(START))

    def test_loss_and_end_are_joined_in_either_order(self) -> None:
        """Guards against lost evidence where one connection breaks a moment later."""
        sends = LostSends()
        sends.lose(START, ADDRESS, ONE, 1.0)
        self.assertEqual(sends.end(START, 1.1), [ONE])
        self.assertTrue(sends.lose(START, ADDRESS, TWO, 1.2))
        self.assertEqual(sends.end(START, 1.3), [])

    def test_a_loss_long_before_the_end_is_no_evidence(self) -> None:
        """Guards against blaming a request for a target that ended much later."""
        sends = LostSends()
        sends.lose(START, ADDRESS, ONE, 1.0)
        self.assertEqual(sends.end(START, 60.0), [])
        self.assertFalse(sends.lose(START, ADDRESS, TWO, 120.0))

    def test_starts_under_one_id_are_told_apart(self) -> None:
        """Guards against blaming a request for the end of an earlier start."""
        sends = LostSends()
        sends.lose(START, ADDRESS, ONE, 1.0)
        self.assertEqual(sends.end(TargetStart(InstanceId("e-1"), 6), 1.1), [])
        self.assertEqual(sends.end(START, 1.2), [ONE])

    def test_a_newcomer_at_the_address_shows_the_end(self) -> None:
        """Guards against lost evidence of targets that are soon back."""
        sends = LostSends()
        sends.lose(START, ADDRESS, ONE, 1.0)
        newcomer = TargetStart(InstanceId("e-9"), None)
        self.assertEqual(sends.others_at(ADDRESS, START), [])
        self.assertEqual(sends.others_at("10.0.0.2:80", newcomer), [])
        self.assertEqual(sends.others_at(ADDRESS, newcomer), [START])
        sends.end(START, 4.0)
        self.assertEqual(sends.others_at(ADDRESS, newcomer), [])


if __name__ == "__main__":
    unittest.main()
