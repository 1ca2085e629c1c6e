"""Processor time and memory of processes, and bytes of TCP connections."""

from __future__ import annotations

import os
import socket
import struct
from typing import Iterable

from attrs import frozen

__all__ = ["Usage", "WireUse", "process_usage", "wire_use"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

#: Header bytes of an IPv4 packet with TCP and its timestamps.
_PACKET_BYTES = 52

#: Where Linux keeps the counters in its TCP_INFO structure.
_BYTES_AT = 120
_SEGMENTS_AT = 136
_INFO_BYTES = 232


@frozen
class Usage:
    """Hold what a process has used so far."""

    cpu_s: float
    rss_bytes: int


@frozen
class WireUse:
    """Hold what connections have sent and received, with packet headers."""

    sent_bytes: int
    received_bytes: int


def process_usage(pid: int) -> Usage:
    """Return the use of a process, read from the kernel."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / _TICKS_PER_S, int(fields[21]) * _PAGE_BYTES)


def wire_use(sockets: Iterable[socket.socket]) -> WireUse:
    """Return the bytes of TCP connections on the wire, both directions."""
    sent = received = 0
    for one in sockets:
        info = one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        out_bytes, in_bytes = struct.unpack_from("QQ", info, _BYTES_AT)
        out_packets, in_packets = struct.unpack_from("II", info, _SEGMENTS_AT)
        sent += out_bytes + _PACKET_BYTES * out_packets
        received += in_bytes + _PACKET_BYTES * in_packets
    return WireUse(sent, received)
