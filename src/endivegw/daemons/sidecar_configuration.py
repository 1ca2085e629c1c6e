"""The configuration as a sidecar's admission gate uses it."""

from __future__ import annotations

from typing import Callable

from endivegw.configuration.agent import ConfigurationAgent
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.types import ConfigRevision

__all__ = ["SidecarConfiguration"]


class SidecarConfiguration:
    """Combine the configuration agent with the handling of peers' headers.

    :param on_header: receives the header of each message.
    """

    def __init__(
        self, agent: ConfigurationAgent, on_header: Callable[[pb.Header], None]
    ) -> None:
        self._agent = agent
        self._on_header = on_header

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision of the complete local configuration; 0 for none."""
        return self._agent.revision

    def receive_header(self, header: pb.Header) -> None:
        """Record a message's sender, and the revision to fetch if it is newer."""
        self._on_header(header)

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the encoded configuration if it is newer than a revision."""
        return self._agent.newer_than(revision)
