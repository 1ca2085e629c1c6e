"""CPU time and memory of processes, and bytes on the wire of TCP connections."""

from __future__ import annotations

import os
import socket
import struct
from typing import Iterable

from attrs import frozen

__all__ = ["ProcessUsage", "WireUsage", "process_usage", "wire_usage"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

#: Size of IPv4 and TCP headers with the timestamp option.
_PACKET_BYTES = 52

#: Offsets of the byte and segment counters in the TCP_INFO structure of Linux.
_BYTES_OFFSET = 120
_SEGMENTS_OFFSET = 136
_INFO_BYTES = 232


@frozen
class ProcessUsage:
    """CPU time and resident memory of a process."""

    cpu_s: float
    rss_bytes: int


@frozen
class WireUsage:
    """Bytes that connections have sent and received, including packet headers."""

    sent_bytes: int
    received_bytes: int


def process_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process from ``/proc``."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(ticks / _TICKS_PER_S, int(fields[21]) * _PAGE_BYTES)


def wire_usage(sockets: Iterable[socket.socket]) -> WireUsage:
    """Return the bytes on the wire of TCP connections in each direction."""
    sent = received = 0
    for connection in sockets:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        out_bytes, in_bytes = struct.unpack_from("QQ", info, _BYTES_OFFSET)
        out_packets, in_packets = struct.unpack_from("II", info, _SEGMENTS_OFFSET)
        sent += out_bytes + _PACKET_BYTES * out_packets
        received += in_bytes + _PACKET_BYTES * in_packets
    return WireUsage(sent, received)
