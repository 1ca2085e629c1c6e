"""The configuration as a sidecar's gate sees it."""

from __future__ import annotations

from typing import Callable

from endivegw.configuration.agent import ConfigurationAgent
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.types import ConfigRevision

__all__ = ["SidecarConfiguration"]


class SidecarConfiguration:
    """Join the configuration's agent and the book of peers for the gate."""

    def __init__(
        self, agent: ConfigurationAgent, on_header: Callable[[pb.Header], None]
    ) -> None:
        self._agent = agent
        self._on_header = on_header

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision that is held whole; 0 for none."""
        return self._agent.revision

    def heard_header(self, header: pb.Header) -> None:
        """Learn who sent a message, and which revision to fetch if newer."""
        self._on_header(header)

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the encoded configuration where it is newer."""
        return self._agent.newer_than(revision)
