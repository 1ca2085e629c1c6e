"""Intervals and limits for the synchronization of the configuration."""

from __future__ import annotations

from attrs import frozen

__all__ = ["SyncSettings"]


@frozen
class SyncSettings:
    """Hold the intervals and limits of the scheduler, designed for 1,020 processes.

    :param poll_s: mean interval between polls of the table, in seconds; each is drawn
        from 3/4 to 5/4 of it. Three seconds make 340 reads per second, a sixth of the
        table's capacity. A process that no peer reaches waits at most 3.75 s; the rest
        of the limit of 7 s is for a slow response, or for propagation through peers if
        a single router reaches the table.
    :param load_reads: calls to the table for one complete load.
    :param load_reads_hz: calls per second for complete loads when the whole fleet
        starts. The other half of the table's capacity is for budgets.
    :param pull_jitter_s: longest random delay before pulling a higher revision, in
        seconds, so that the 30 receivers of one heartbeat round do not all send a
        request to its sender in the same millisecond.
    :param pull_timeout_s: longest wait for a peer's response, in seconds; the round
        trip between regions takes 0.1 s.
    :param pull_retry_s: initial back-off for a peer that did not respond, in seconds;
        doubled with each further failure. Other peers are tried at once. In a one-way
        partition a process receives messages from peers that it cannot reach. Without
        the back-off it would retry these peers repeatedly, and reach a responding peer
        late or never.
    :param max_retry_s: limit of the back-off, in seconds.
    :param object_read_s: mean interval between polls of the object store, in seconds,
        only while the table is unavailable; 68 reads per second in all.
    :param table_unavailable_after_s: time without a response after which the table
        counts as unavailable, in seconds; covers two polls and a timeout.
    :param object_write_s: longest delay until an adopted change is written to the
        object store, in seconds. The object store serves the start of processes and
        not the propagation of changes, so it may lag.
    :param object_writers: mean number of processes that try to write a change to the
        object store. The first one writes it, the others find it written. A single
        process might terminate before writing.
    :param report_spread_s: longest delay of an adoption report, in seconds, drawn from
        half of it to all of it. A router reports after it adopts a revision and after
        a peer's revision differs from the reported one. Most peers follow within the
        first delay, so that a change costs 1.3 reports per router. 370 routers make
        186 writes in the busiest second, of several hundred that the table can handle.
    :param report_window_s: a report contains the peers from which a message was
        received within this time, in seconds. It covers a few heartbeats, so that a
        dead peer is soon left out.
    :param report_s: mean interval at which an unchanged report is written again, in
        seconds, which shows operators that the daemon is alive; 6 writes per second in
        all.
    """

    poll_s: float = 3.0
    load_reads: int = 5
    load_reads_hz: float = 1000.0
    pull_jitter_s: float = 0.2
    pull_timeout_s: float = 1.0
    pull_retry_s: float = 1.0
    max_retry_s: float = 16.0
    object_read_s: float = 15.0
    table_unavailable_after_s: float = 9.0
    object_write_s: float = 60.0
    object_writers: int = 8
    report_spread_s: float = 5.0
    report_window_s: float = 30.0
    report_s: float = 60.0
