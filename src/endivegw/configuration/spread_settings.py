"""How often a process asks for a newer configuration, and why so often."""

from __future__ import annotations

from attrs import frozen

__all__ = ["SpreadSettings"]


@frozen
class SpreadSettings:
    """Hold how often a process asks; worked out for 1,020 processes.

    :param poll_s: mean time between two polls of the table, drawn from 3/4 to
        5/4 of it. Three seconds make 340 reads a second, a sixth of what the
        table bears. A process that no peer reaches waits 3.75 s at most; the
        rest of the 7 s is for a slow answer, or for the way over peers where
        one router alone reaches the table.
    :param load_reads: calls of the table that load all documents.
    :param load_reads_hz: such calls a second when the whole fleet starts; the
        other half of what the table bears is for budgets.
    :param pull_jitter_s: a process that hears a higher revision waits up to
        this, so that the 30 receivers of one heartbeat round do not all ask
        its sender in the same millisecond.
    :param pull_timeout_s: longest wait for a peer; regions are 0.1 s apart.
    :param pull_retry_s: a peer that did not answer is passed over for this,
        then for twice as long and so on, and others are asked at once. In a
        one-way cut a process goes on to hear peers that cannot hear it;
        without the pause it would ask them again and again and come to the
        one that answers late or never.
    :param longest_retry_s: the pause grows up to this.
    :param object_read_s: mean time between two looks into the object store,
        only while the table does not answer: 68 reads a second in all.
    :param table_silent_s: the table counts as away when it has not answered
        for so long; two polls and a timeout.
    :param object_write_s: an adopted change is written to the object store
        within this. The object is where fresh processes start from, not how
        changes travel, so it may lag.
    :param object_writers: how many processes consider writing it; the first
        does, the others find it done. One alone may die before it writes.
    :param report_spread_s: a router reports between half of this and this
        after it adopted a revision, and again after it heard that a peer has
        another one than it reported. Most peers follow within the first wait,
        so that a change costs a router 1.3 reports. 370 routers make 186
        writes in the busiest second, of several hundred that the table bears.
    :param reported_s: a peer heard within this is in the report; a few
        heartbeats, so that a dead one is soon missed.
    :param report_s: an unchanged report is written again after this, by which
        operators see that the daemon lives: 6 writes a second in all.
    """

    poll_s: float = 3.0
    load_reads: int = 5
    load_reads_hz: float = 1000.0
    pull_jitter_s: float = 0.2
    pull_timeout_s: float = 1.0
    pull_retry_s: float = 1.0
    longest_retry_s: float = 16.0
    object_read_s: float = 15.0
    table_silent_s: float = 9.0
    object_write_s: float = 60.0
    object_writers: int = 8
    report_spread_s: float = 5.0
    reported_s: float = 30.0
    report_s: float = 60.0
