"""Prefix digests of routers match those of engines."""

import unittest

from endivegw.decisions import PrefixScheme, prefix_digests
from endivegw_standins.engine_text import PREFIX_BLOCK_WORDS, Prompt

SCHEME = PrefixScheme()


class PrefixDigestsTests(unittest.TestCase):
    def test_digests_are_those_of_the_engine(self):
        """Each digest is one that the engine publishes for the same prompt."""
        self.assertEqual(SCHEME.block_words, PREFIX_BLOCK_WORDS)
        text = "\n".join(f"word{number}" for number in range(1000))
        own = prefix_digests(text, SCHEME)
        theirs = Prompt(text, "m", 1, 1, True).prefix_digests()
        self.assertEqual(len(own), 1000 // SCHEME.block_tokens)
        self.assertEqual(list(own), theirs[SCHEME.stride - 1 :: SCHEME.stride])

    def test_long_prompts_are_bounded(self):
        """A prompt of a hundred thousand words yields no more than the maximum."""
        text = "w " * 100_000
        self.assertEqual(len(prefix_digests(text, SCHEME)), SCHEME.max_digests)

    def test_short_prompts_have_none(self):
        """A prompt shorter than one block has no digests."""
        self.assertEqual(prefix_digests("good morning", SCHEME), ())
