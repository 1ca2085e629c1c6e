"""Late, duplicate and reordered frames give the answer once and in order."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.requests.assembly import Assembler, Complete, Inconsistent
from endivegw.requests.buffer import AnswerBuffer, BufferEnd, DataLost
from endivegw.types import AttemptId, Usage

ANSWER = bytes(range(200))


@st.composite
def frames_of_answer(draw):
    """Cover the answer with overlapping frames in any order, some of them twice."""
    cuts = sorted(draw(st.sets(st.integers(1, 199), max_size=8)) | {0, 200})
    frames = [(start, end) for start, end in zip(cuts, cuts[1:])]
    more = draw(
        st.lists(st.tuples(st.integers(0, 199), st.integers(1, 60)), max_size=6)
    )
    frames += [(start, min(200, start + size)) for start, size in more]
    return draw(st.permutations(frames))


class AssemblyTests(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(frames_of_answer(), st.integers(0, 20))
    def test_every_byte_once_and_complete_only_at_the_end(self, frames, end_at):
        """
        Guards against repeated or missing bytes when frames of two connections
        overlap and the end frame overtakes some of them.
        """
        assembler = Assembler(AttemptId("a1"))
        received, ended = b"", False
        for position, (start, end) in enumerate(frames):
            if position == end_at:
                ended = assembler.end(AttemptId("a1"), 200) == Complete(200)
                self.assertIs(ended, received == ANSWER)
            chunks = assembler.data(AttemptId("a1"), start, ANSWER[start:end])
            received += b"".join(chunk.data for chunk in chunks)
            self.assertEqual(received, ANSWER[: len(received)])
        self.assertEqual(assembler.end(AttemptId("a1"), 200), Complete(200))
        self.assertEqual(received, ANSWER)

    def test_frames_of_an_abandoned_attempt_are_dropped(self):
        """
        Guards against late frames of an abandoned attempt in the answer of the
        attempt that replaced it.
        """
        assembler = Assembler(AttemptId("a2"))
        self.assertEqual(assembler.data(AttemptId("a1"), 0, b"old"), ())
        self.assertIsNone(assembler.end(AttemptId("a1"), 3))
        chunks = assembler.data(AttemptId("a2"), 0, b"new")
        self.assertEqual([chunk.data for chunk in chunks], [b"new"])

    def test_truncated_answer_is_not_complete(self):
        """An end frame whose length was not reached does not complete the answer."""
        assembler = Assembler(AttemptId("a1"))
        assembler.data(AttemptId("a1"), 0, b"half")
        self.assertIsNone(assembler.end(AttemptId("a1"), 8))
        self.assertIs(assembler.complete, False)

    def test_contradicting_end_frames_are_inconsistent(self):
        """Two end frames of different length are reported as inconsistent."""
        assembler = Assembler(AttemptId("a1"))
        assembler.end(AttemptId("a1"), 8)
        self.assertIsInstance(assembler.end(AttemptId("a1"), 9), Inconsistent)
        self.assertIsInstance(
            assembler.data(AttemptId("a1"), 4, b"12345"), Inconsistent
        )

    def test_bytes_of_two_attempts_are_never_mixed(self):
        """Once bytes were delivered, the answer cannot switch to another attempt."""
        assembler = Assembler(AttemptId("a1"))
        assembler.data(AttemptId("a1"), 0, b"x")
        with self.assertRaises(InvariantError):
            assembler.move_to(AttemptId("a2"))


class BufferTests(unittest.TestCase):
    def test_small_answer_stays_replayable_for_a_retry(self):
        """An answer within the limit can be read again from its first byte."""
        buffer = AnswerBuffer(100)
        buffer.append(b"x" * 90)
        buffer.release(90)
        self.assertIs(buffer.replayable, True)
        self.assertEqual(len(buffer.read(0, 1000)), 90)

    def test_large_answer_discards_its_start(self):
        """
        An answer exceeds the buffer limit. The current reader gets all of it; a
        later reader learns that the start was discarded.
        """
        buffer = AnswerBuffer(100)
        buffer.append(b"x" * 100)
        buffer.release(60)
        buffer.append(b"y" * 60)
        self.assertEqual(buffer.read(60, 1000), b"x" * 40 + b"y" * 60)
        self.assertEqual(buffer.read(0, 10), DataLost())

    def test_answer_does_not_grow_after_its_end(self):
        """A second run under the same identity cannot append to the answer."""
        buffer = AnswerBuffer(100)
        buffer.finish(Usage(), "stop")
        self.assertEqual(buffer.outcome, BufferEnd(0, Usage(), "stop"))
        with self.assertRaises(InvariantError):
            buffer.append(b"more")
        with self.assertRaises(InvariantError):
            buffer.finish(Usage(), "stop")
