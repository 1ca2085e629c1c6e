"""What gives way where callers hold more than a process has room for, without I/O."""

from __future__ import annotations

import random
import unittest

from attrs import define, field

from endivegw.capacity import (
    ConnectionLimit,
    ConnectionState,
    GaveWayCounter,
    HeldMemory,
    HeldShare,
)
from endivegw.types import ClientAccountName

_KB = 1000
_MAX_BYTES = 10_000 * _KB


@define(eq=False)
class Request:
    """One request that grows until it gives way or was sent to a target."""

    share: HeldShare
    sent: bool = False
    gave_way: bool = False

    @property
    def releasable_bytes(self) -> int:
        """Return all, unless a target may run the request."""
        return 0 if self.sent else self.share.held_bytes

    def give_up(self) -> None:
        """Release all."""
        self.gave_way = True
        self.share.release(self.share.held_bytes)


@define
class Callers:
    """Callers of one process."""

    memory: HeldMemory = field(factory=lambda: HeldMemory(_MAX_BYTES))
    requests: list[Request] = field(factory=list)

    def send(self, size_bytes: int, account: str = "a", sent: bool = False) -> Request:
        """Receive a request; return it."""
        share = HeldShare(self.memory, account=ClientAccountName(account))
        request = share.holder = Request(share)
        self.memory.enter(share)
        self.requests.append(request)
        share.add(size_bytes)
        request.sent = sent
        return request


class HeldMemoryTests(unittest.TestCase):
    """Many large requests, and ordinary ones beside them."""

    # Guards against an ordinary request that is refused for large unfinished ones.
    def test_the_largest_unfinished_one_gives_way(self) -> None:
        callers = Callers()
        ordinary = [callers.send(_KB) for _ in range(20)]
        crowd = [callers.send(1000 * _KB + number) for number in range(30)]
        self.assertLessEqual(callers.memory.total_bytes, _MAX_BYTES)
        self.assertFalse(any(request.gave_way for request in ordinary))
        self.assertTrue(any(not request.gave_way for request in crowd))

    # Guards against a body that is nearly whole refused for one that has stalled.
    def test_of_equal_ones_the_one_that_stalled_gives_way(self) -> None:
        callers = Callers()
        crowd = [callers.send(100 * _KB) for _ in range(70)]
        for request in crowd[1:]:
            request.share.add(1)
            request.share.release(1)
        callers.send(100 * _KB)
        while not any(request.gave_way for request in crowd):
            callers.send(100 * _KB)
        self.assertTrue(crowd[0].gave_way)

    # Guards against one account's small bodies that push out another account's.
    def test_the_account_that_holds_most_gives_way(self) -> None:
        callers = Callers()
        other = callers.send(60 * _KB, "b")
        for _ in range(1000):
            callers.send(20 * _KB, "a")
        self.assertFalse(other.gave_way)
        self.assertLessEqual(callers.memory.total_bytes, _MAX_BYTES)

    # Guards against a small request that finds no room beside large ones that run.
    def test_small_requests_have_room_beside_large_ones_that_were_sent(self) -> None:
        callers = Callers()
        for _ in range(30):
            request = callers.send(500 * _KB)
            request.sent = not request.gave_way
        ordinary = callers.send(_KB)
        self.assertFalse(ordinary.gave_way)

    # Guards against a body within the configuration's limit that is always refused.
    def test_the_largest_request_is_taken_whatever_the_limit_is(self) -> None:
        callers = Callers(HeldMemory(_KB, largest_bytes=4000 * _KB))
        self.assertFalse(callers.send(4000 * _KB).gave_way)
        self.assertTrue(HeldMemory(_KB).limit_bytes < callers.memory.limit_bytes)

    # Guards against more held than the limit while enough of it may give way.
    def test_the_sum_stays_within_the_limit_in_any_order(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            callers = Callers()
            for _ in range(400):
                request = callers.send(
                    rng.choice((1, 50, 300, 2000)) * _KB, "ab"[seed % 2]
                )
                if rng.random() < 0.3:
                    callers.requests.remove(request)
                    request.share.close()
                self.assertLessEqual(callers.memory.total_bytes, _MAX_BYTES, seed)
            for request in callers.requests:
                request.share.close()
            self.assertEqual(callers.memory.total_bytes, 0, seed)

    # Guards against slow readers that are not closed as nothing else can give way.
    def test_the_last_resort_is_called_if_nothing_can_give_way(self) -> None:
        full: list[int] = []
        callers = Callers()
        callers.memory.on_full = lambda: full.append(callers.memory.total_bytes)
        request = callers.send(1000 * _KB, sent=True)
        self.assertFalse(full)
        request.share.add(_MAX_BYTES)
        self.assertEqual(full, [_MAX_BYTES + 1000 * _KB])

    # Guards against a log line that names the wrong account.
    def test_the_account_that_holds_most_is_named(self) -> None:
        callers = Callers()
        self.assertIsNone(callers.memory.largest_account())
        callers.send(2 * _KB, "a")
        callers.send(3 * _KB, "b")
        self.assertEqual(callers.memory.largest_account(), "b")

    # Guards against a crowd that is reported with each of its requests, or never.
    def test_what_gave_way_is_reported_once(self) -> None:
        callers = Callers()
        limit = ConnectionLimit[str](1)
        counter = GaveWayCounter(callers.memory, limit)
        self.assertIsNone(counter.take())
        limit.set_state("idle", ConnectionState.IDLE)
        limit.pop_waiting()
        for _ in range(10):
            callers.send(1000 * _KB)
        reported = counter.take()
        assert reported is not None
        gave_way = sum(request.gave_way for request in callers.requests)
        self.assertEqual((reported.requests, reported.connections), (gave_way, 1))
        self.assertEqual(reported.client_account, "a")
        self.assertIsNone(counter.take())

    # Guards against counts that change after a connection has ended.
    def test_a_closed_share_counts_nothing(self) -> None:
        callers = Callers()
        request = callers.send(_KB)
        request.share.close()
        request.share.add(_KB)
        request.share.release(5 * _KB)
        self.assertEqual(callers.memory.total_bytes, 0)


if __name__ == "__main__":
    unittest.main()
