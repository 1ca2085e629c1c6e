"""Frames that come late, doubled and reordered give the answer once, in order."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.requests.assembly import Assembler, Cut, Whole
from endivegw.requests.buffer import AnswerBuffer, BufferEnd, DataLost
from endivegw.types import AttemptId, Usage

ANSWER = bytes(range(200))


@st.composite
def frames_of_answer(draw):
    """Cover the answer by overlapping frames in any order, some of them twice."""
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
    def test_every_byte_once_and_whole_only_at_the_end(self, frames, end_at):
        """
        Frames of two connections overlap, and the end overtakes some of them.
        The caller gets each byte once, in order, and the end last.
        """
        assembler = Assembler(AttemptId("a1"))
        received, ended = b"", False
        for position, (start, end) in enumerate(frames):
            if position == end_at:
                ended = assembler.end(AttemptId("a1"), 200) == Whole(200)
                self.assertIs(ended, received == ANSWER)
            pieces = assembler.data(AttemptId("a1"), start, ANSWER[start:end])
            received += b"".join(piece.data for piece in pieces)
            self.assertEqual(received, ANSWER[: len(received)])
        self.assertEqual(assembler.end(AttemptId("a1"), 200), Whole(200))
        self.assertEqual(received, ANSWER)

    def test_frames_of_a_lost_attempt_are_dropped(self):
        """
        An attempt was given up and its frames arrive late. They do not get
        into the answer of the attempt that took its place.
        """
        assembler = Assembler(AttemptId("a2"))
        self.assertEqual(assembler.data(AttemptId("a1"), 0, b"old"), ())
        self.assertIsNone(assembler.end(AttemptId("a1"), 3))
        pieces = assembler.data(AttemptId("a2"), 0, b"new")
        self.assertEqual([piece.data for piece in pieces], [b"new"])

    def test_cut_answer_is_not_whole(self):
        """An end whose length was not reached does not make the answer whole."""
        assembler = Assembler(AttemptId("a1"))
        assembler.data(AttemptId("a1"), 0, b"half")
        self.assertIsNone(assembler.end(AttemptId("a1"), 8))
        self.assertIs(assembler.whole, False)

    def test_contradicting_ends_cut_the_answer(self):
        """Two ends of different length cannot both be true."""
        assembler = Assembler(AttemptId("a1"))
        assembler.end(AttemptId("a1"), 8)
        self.assertIsInstance(assembler.end(AttemptId("a1"), 9), Cut)
        self.assertIsInstance(assembler.data(AttemptId("a1"), 4, b"12345"), Cut)

    def test_bytes_of_two_attempts_are_never_mixed(self):
        """Once bytes were given out, another attempt cannot take over."""
        assembler = Assembler(AttemptId("a1"))
        assembler.data(AttemptId("a1"), 0, b"x")
        with self.assertRaises(InvariantError):
            assembler.move_to(AttemptId("a2"))


class BufferTests(unittest.TestCase):
    def test_small_answer_stays_whole_for_a_retry(self):
        """An answer within the bound can be read again from its first byte."""
        buffer = AnswerBuffer(100)
        buffer.append(b"x" * 90)
        buffer.release(90)
        self.assertIs(buffer.whole, True)
        self.assertEqual(len(buffer.read(0, 1000)), 90)

    def test_large_answer_gives_its_front_up(self):
        """
        A service answers with far more than may be held. The reader gets it
        all; who comes later learns that the front is gone.
        """
        buffer = AnswerBuffer(100)
        buffer.append(b"x" * 100)
        buffer.release(60)
        buffer.append(b"y" * 60)
        self.assertEqual(buffer.read(60, 1000), b"x" * 40 + b"y" * 60)
        self.assertEqual(buffer.read(0, 10), DataLost())

    def test_answer_does_not_grow_after_its_end(self):
        """A second run under the same identity cannot write into the answer."""
        buffer = AnswerBuffer(100)
        buffer.finish(Usage(), "stop")
        self.assertEqual(buffer.outcome, BufferEnd(0, Usage(), "stop"))
        with self.assertRaises(InvariantError):
            buffer.append(b"more")
        with self.assertRaises(InvariantError):
            buffer.finish(Usage(), "stop")
