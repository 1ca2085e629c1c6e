"""Streams that go on at another target while the one before is silent."""

from __future__ import annotations

import contextlib
import unittest
from unittest import mock

import anyio
from anyio.abc import SocketStream
from attrs import define

from endivegw.relay.attempt import AttemptLimits
from endivegw.relay.attempt_overlap import limit_overlap
from endivegw.relay.running_attempt import RunningAttempt
from endivegw.relay.target_pool import TargetPool
from endivegw_standins.platform_worker import PlatformWorker
from endivegw_standins.virtual_time import VirtualLoop
from tests.platform_fleet import Answer, ClientFleet
from tests.test_attempt_races import run_script

_DEADLINE_MS = 7000
_EVENTS = [f"id: {number}\n".encode() for number in range(1, 6)]

#: Longest time for which two targets may work on one stream.
_MAX_OVERLAP_S = 0.4

#: Longer than any request may take.
_FOREVER_S = 10.0

_answer = PlatformWorker._answer


@define
class _Play:
    """Play a stream whose first target is silent.

    :ivar silent_s: length of that silence.
    :ivar silent_after_events: number of events before it.
    :ivar prefill_s: time that the second target reads the prompt.
    :ivar responding: numbers of the targets that respond to requests for a report.
    :ivar arrived_s: when the second target got the request.
    :ivar closed_s: when the first target's connection was closed.
    """

    silent_s: float
    silent_after_events: int
    prefill_s: float
    responding: frozenset[int] = frozenset({0, 1})
    arrived_s: float = 0.0
    closed_s: float = 0.0
    answer: Answer | None = None

    def run(self) -> None:
        """Send the stream."""
        run_script(self._script, self._send, engines=2)

    async def _send(self, fleet: ClientFleet) -> None:
        self.answer = await fleet.send_request(
            "resumable", tokens=(100, 40), deadline_ms=_DEADLINE_MS
        )
        await anyio.sleep(0.1)

    async def _script(
        self,
        worker: PlatformWorker,
        stream: SocketStream,
        fields: dict[str, str],
        body: bytes,
        number: int,
    ) -> bool:
        worker.reports = number in self.responding
        if number:
            self.arrived_s = anyio.current_time()
            await anyio.sleep(self.prefill_s)
            return await _answer(worker, stream, fields, body)
        worker.silent_s, worker.remaining_silences = self.silent_s, 1
        worker.silent_after_events = self.silent_after_events
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, stream, tasks.cancel_scope)
            keeps_connection = await _answer(worker, stream, fields, body)
            tasks.cancel_scope.cancel()
            return keeps_connection
        return False

    async def _watch(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """End the work when the router closes the connection."""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive()
        self.closed_s = anyio.current_time()
        scope.cancel()


class DecisionTests(unittest.TestCase):
    """Which attempts are ended, by the targets that respond; in virtual time."""

    def ended(self, responding: str, probe_path: bytes | None = b"/report") -> str:
        """Return the attempts of targets a and b that are ended within a second.

        :param responding: targets that respond; b has got the stream last.
        """

        async def probe(address: str, path: bytes) -> bool:
            if address not in responding:
                await anyio.sleep_forever()
            return True

        async def run() -> str:
            running = [
                RunningAttempt(mock.Mock(address=address)) for address in ("a", "b")
            ]
            context = mock.Mock(limits=AttemptLimits())
            context.wire.probe_path.return_value = probe_path
            context.pool.probe = probe
            with anyio.move_on_after(1.0):
                await limit_overlap(context, running[1], running)
            ended = [each for each in running if each.scope.cancel_called]
            return "".join(each.placement.address for each in ended)

        return anyio.run(run, backend_options={"loop_factory": VirtualLoop})

    # Guards against two targets that work on one stream, and against a stream that is
    # taken from its target in favour of a dead one.
    def test_at_most_one_target_that_responds_keeps_a_stream(self) -> None:
        for responding, ended in (("ab", "a"), ("b", "a"), ("a", "b"), ("", "")):
            with self.subTest(responding=responding):
                self.assertEqual(self.ended(responding), ended)

    def test_targets_that_cannot_be_probed_keep_a_stream(self) -> None:
        """Targets of which nothing is known may both be silent and sound."""
        self.assertEqual(self.ended("ab", probe_path=None), "")


class OverlapTests(unittest.TestCase):
    """A second target gets a stream of which the first one says nothing more."""

    def check_whole(self, play: _Play) -> None:
        """Check that the caller got each event once, and the end."""
        assert play.answer is not None
        self.assertEqual((play.answer.status, play.answer.complete), (200, True))
        counts = [play.answer.body.count(event) for event in _EVENTS]
        self.assertEqual(counts, [1] * len(_EVENTS))

    # Guards against a stream on which a silent target still works long after another
    # one, which reads the prompt, got it.
    def test_the_first_target_stops_soon_after_the_second_got_the_stream(self) -> None:
        for events in (0, 2):
            with self.subTest(events=events):
                play = _Play(_FOREVER_S, events, prefill_s=1.0)
                play.run()
                self.check_whole(play)
                self.assertGreater(play.arrived_s, 0.0)
                self.assertLess(play.closed_s - play.arrived_s, _MAX_OVERLAP_S)

    # Guards against an answer that is thrown away just before it goes on.
    def test_a_first_target_that_goes_on_at_once_keeps_the_stream(self) -> None:
        for events in (0, 2):
            with self.subTest(events=events):
                play = _Play(1.3, events, prefill_s=1.0)
                play.run()
                self.check_whole(play)
                self.assertGreater(play.arrived_s, 0.0)
                self.assertEqual(play.closed_s, 0.0)

    # Guards against a sound target whose stream is ended in favour of a dead one.
    def test_a_second_target_that_does_not_respond_gets_nothing(self) -> None:
        for responding in (frozenset({0}), frozenset[int]()):
            with self.subTest(responding=responding):
                play = _Play(1.9, 2, prefill_s=_FOREVER_S, responding=responding)
                play.run()
                self.check_whole(play)
                self.assertGreater(play.arrived_s, 0.0)
                self.assertEqual(play.closed_s, 0.0)

    # Guards against a stream that an error beside it ends.
    def test_an_error_of_a_probe_does_not_end_a_stream(self) -> None:
        with mock.patch.object(TargetPool, "probe", side_effect=ValueError("probe")):
            play = _Play(1.9, 2, prefill_s=_FOREVER_S)
            play.run()
        self.check_whole(play)

    # Guards against a stream that waits for a dead target.
    def test_a_first_target_that_does_not_respond_is_left(self) -> None:
        play = _Play(_FOREVER_S, 2, prefill_s=1.0, responding=frozenset({1}))
        play.run()
        self.check_whole(play)
        self.assertLess(play.closed_s - play.arrived_s, _MAX_OVERLAP_S)


if __name__ == "__main__":
    unittest.main()
