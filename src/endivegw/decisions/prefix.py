"""Digests of a prompt's leading blocks, as engines name them in cache events."""

from __future__ import annotations

import hashlib

from attrs import frozen

__all__ = ["PrefixScheme", "prefix_digests"]


@frozen
class PrefixScheme:
    """Hold how prompts are split into blocks.

    :param block_words: words of one engine block; its digest covers all words up to the
        end of the block.
    :param stride: number of blocks per digest used. Prompts share long beginnings, so
        that the coarser grid finds nearly as much at a quarter of the cost.
    :param max_digests: maximum number of digests of one prompt; it bounds the cost of a
        placement.
    """

    block_words: int = 16
    stride: int = 4
    max_digests: int = 32

    @property
    def block_tokens(self) -> int:
        """Return the tokens per digest, for ``Policy.block_tokens``."""
        return self.block_words * self.stride


def prefix_digests(text: str, scheme: PrefixScheme) -> tuple[bytes, ...]:
    """Return digests of a prompt's leading blocks, the shortest prefix first."""
    step = scheme.block_tokens
    # Limiting the number of splits leaves the rest of a long prompt unsplit.
    words = text.split(maxsplit=step * scheme.max_digests)[: step * scheme.max_digests]
    running = hashlib.sha256()
    found: list[bytes] = []
    for end in range(step, len(words) + 1, step):
        block = " ".join(words[end - step : end])
        running.update((" " + block if found else block).encode())
        found.append(running.copy().digest()[:8])
    return tuple(found)
