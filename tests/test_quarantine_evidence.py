"""Requests that were in progress at a target when it terminated."""

from __future__ import annotations

import unittest

from endivegw.quarantine import Fingerprint, LostSends, TargetStart, fingerprint_of
from endivegw.types import ClientAccountName, InstanceId

START = TargetStart(InstanceId("e-1"), 5)
ADDRESS = "10.0.0.1:80"
ONE, TWO = Fingerprint("one"), Fingerprint("two")


class FingerprintTests(unittest.TestCase):
    """Repeats of a request share its fingerprint, and no other request does."""

    def test_each_part_counts(self) -> None:
        """The fingerprint depends on method, host, path, account and body only."""
        hotel = ClientAccountName("hotel")
        parts = (b"POST", "h", b"/a/b", hotel, b"body")
        fingerprint = fingerprint_of(*parts)
        self.assertEqual(fingerprint, fingerprint_of(*parts))
        others = [
            (b"PUT", "h", b"/a/b", hotel, b"body"),
            (b"POST", "i", b"/a/b", hotel, b"body"),
            (b"POST", "h", b"/a/c", hotel, b"body"),
            (b"POST", "h", b"/a/b", ClientAccountName("inn"), b"body"),
            (b"POST", "h", b"/a/b", None, b"body"),
            (b"POST", "h", b"/a/b", hotel, b"bodi"),
            (b"POST", "h", b"/a/bh", ClientAccountName("otel"), b"body"),
        ]
        self.assertEqual(
            len({fingerprint, *(fingerprint_of(*other) for other in others)}), 8
        )
        self.assertEqual(len(fingerprint), 16)


class LostSendsTests(unittest.TestCase):
    """A lost send counts once its target is known to have terminated."""

    def test_a_broken_connection_alone_is_no_evidence(self) -> None:
        """Guards against blaming requests for connections that the network resets."""
        sends = LostSends()
        self.assertFalse(sends.record_loss(START, ADDRESS, ONE, 1.0))
        self.assertFalse(sends.has_terminated(START))

    def test_loss_and_termination_match_in_either_order(self) -> None:
        """Guards against lost evidence if a connection breaks after the termination."""
        sends = LostSends()
        sends.record_loss(START, ADDRESS, ONE, 1.0)
        self.assertEqual(sends.record_termination(START, 1.1), [ONE])
        self.assertTrue(sends.record_loss(START, ADDRESS, TWO, 1.2))
        self.assertEqual(sends.record_termination(START, 1.3), [])

    def test_a_loss_long_before_the_termination_is_no_evidence(self) -> None:
        """Guards against blaming a request for a target that terminated much later."""
        sends = LostSends()
        sends.record_loss(START, ADDRESS, ONE, 1.0)
        self.assertEqual(sends.record_termination(START, 60.0), [])
        self.assertFalse(sends.record_loss(START, ADDRESS, TWO, 120.0))

    def test_starts_with_the_same_id_are_distinguished(self) -> None:
        """Guards against blaming a request for the termination of another start."""
        sends = LostSends()
        sends.record_loss(START, ADDRESS, ONE, 1.0)
        self.assertEqual(
            sends.record_termination(TargetStart(InstanceId("e-1"), 6), 1.1), []
        )
        self.assertEqual(sends.record_termination(START, 1.2), [ONE])

    def test_a_new_start_at_the_address_proves_the_termination(self) -> None:
        """Guards against lost evidence of targets that restart quickly."""
        sends = LostSends()
        sends.record_loss(START, ADDRESS, ONE, 1.0)
        new_start = TargetStart(InstanceId("e-9"), None)
        self.assertEqual(sends.other_starts_at(ADDRESS, START), [])
        self.assertEqual(sends.other_starts_at("10.0.0.2:80", new_start), [])
        self.assertEqual(sends.other_starts_at(ADDRESS, new_start), [START])
        sends.record_termination(START, 4.0)
        self.assertEqual(sends.other_starts_at(ADDRESS, new_start), [])


if __name__ == "__main__":
    unittest.main()
