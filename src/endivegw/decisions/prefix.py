"""Digests of a prompt's leading blocks, as engines name them in cache events."""

from __future__ import annotations

import hashlib

from attrs import frozen

__all__ = ["PrefixScheme", "prefix_digests"]


@frozen
class PrefixScheme:
    """Hold how prompts are cut into blocks.

    :param block_words: words of one engine block; its digest covers all words
        up to the block's end.
    :param stride: every how many blocks a digest is kept. Prompts share long
        beginnings, so that the coarser grid finds nearly as much and costs a
        quarter.
    :param most: digests of one prompt; it bounds the cost of a placement.
    """

    block_words: int = 16
    stride: int = 4
    most: int = 32

    @property
    def block_tokens(self) -> int:
        """Return what each digest adds, for ``Policy.block_tokens``."""
        return self.block_words * self.stride


def prefix_digests(text: str, scheme: PrefixScheme) -> tuple[bytes, ...]:
    """Return digests of a prompt's leading blocks, the shortest prefix first."""
    step = scheme.block_tokens
    # One split more than needed leaves the rest of a long prompt uncut.
    words = text.split(maxsplit=step * scheme.most)[: step * scheme.most]
    running = hashlib.sha256()
    found: list[bytes] = []
    for end in range(step, len(words) + 1, step):
        block = " ".join(words[end - step : end])
        running.update((" " + block if found else block).encode())
        found.append(running.copy().digest()[:8])
    return tuple(found)
