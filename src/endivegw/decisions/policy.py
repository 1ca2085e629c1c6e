"""The numbers that decisions under load turn on, each with its reason."""

from __future__ import annotations

from attrs import frozen

from endivegw.types import Priority

__all__ = ["Policy"]


@frozen
class Policy:
    """Hold the limits of admission, queueing, placement and health.

    Queueing and admission:

    :param queue_items: bound of one model's queue. It keeps memory and the
        cost of giving work up from growing with the length of an overload.
    :param idle_margin: factor on the expected time of work that can start now;
        below 1 because a pessimistic estimate refuses work that an idle target
        would have finished.
    :param queue_margin: factor on the expected time of work that must queue;
        above 1 because in an overload late work takes a slot from work that
        would have been on time.
    :param queue_deviations: the same in standard deviations of the length of
        answers; their lengths differ much, and a mean is exceeded half the time.
    :param hope_margin: factor on the expected time until which queued work is
        still served if nobody else needs the slot.
    :param wait_margin: factor on the expected wait, for higher priorities that
        arrive meanwhile.
    :param share_tolerance_s: slot-seconds per weight that a client account may
        be ahead of its share while its work has the least slack.
    :param make_way_factor: queued work this many times as long as new work of
        the same account is given up for it, where not both can end in time.
    :param comeback_share: share of the served work that may be work of refused
        callers who come back; the rest is for new callers.
    :param longest_retry_s: no caller is told a longer time.
    :param batch_slots_share: share of a target's slots open to batch work. In
        a saturation by long work the rest stays free for callers who wait at a
        door, who would else wait until a long piece ends.
    :param urgent_overfill: work beyond its slots that a target takes for
        urgent callers; the engine starts it first.
    :param overfill: the same for normal work, as a share of the slots. A
        little lets routers that found all slots taken by others come in, and
        keeps the batch full while a report is on its way.

    Placement:

    :param choices: targets drawn for one placement. Two take the peak off the
        load of the fullest target; many would all pick the same emptiest one
        while reports lag.
    :param affinity: whether targets that keep parts of a prompt are preferred.
    :param copies: whether a target is told to copy cached tokens from another one.
    :param affinity_choices: targets compared because their cache is expected
        to hold a prefix of the prompt.
    :param probes: draws before work is queued because all drawn were full; it
        bounds the cost of a placement at any size of the fleet.
    :param zone_penalty_s: what another availability zone must save to be worth
        the hop there.
    :param pause_cost_s: what it costs to make one running answer pause for too
        long, in seconds of the prompt's own answer that is read beside it.
    :param block_tokens: prompt tokens that each prefix digest covers.
    :param prefix_entries: bound of the prefix index.
    :param prefix_ttl_s: how long a prefix is believed cached without news.
    :param recheck_s: how often queued work looks for a free slot unasked.
    :param holdoff_wait_s: how long work may wait while all targets want nothing;
        where the first is back later, callers are told when.

    Estimates before anything was measured:

    :param prior_first_s: time to the first token of a cached prompt.
    :param prior_prefill_tokens_per_s: speed of reading a prompt.
    :param prior_step_s: time between tokens.
    :param prior_service_s: time of one call of a plain service.
    :param prior_output_share: generated tokens as a share of the bound.

    Scaling:

    :param demand_window_s: how far back demand for a model is measured; with
        shorter windows models would be loaded and unloaded with every burst.

    Health:

    :param sweep_s: how often health is judged.
    :param slow_factor: a target this much slower than its peers sheds work;
        below it the placement's own estimate is enough.
    :param max_shed_share: the most of a model's capacity that health may take
        away. Where most targets look bad, the cause is elsewhere, and the rest
        would be overrun.
    :param min_weight: what a target keeps at the least, so that it is probed.
    :param shed_step: factor on a target's weight at most per sweep.
    :param recover_step: growth of the weight at most per sweep; a target that
        came back is filled slowly because every router finds it empty.
    :param probe_interval_s: time between probes of a target that was shed.
    :param stale_report_s: a report older than this says nothing any more.
    :param lost_after_s: an attempt whose end was not reported so long after its
        deadline is taken as ended.
    :param frozen_reports: equal reports in a row, while work came and went,
        after which they are ignored.
    """

    queue_items: int = 512
    idle_margin: float = 0.7
    queue_margin: float = 1.0
    queue_deviations: float = 0.25
    hope_margin: float = 0.7
    wait_margin: float = 1.0
    share_tolerance_s: float = 10.0
    make_way_factor: float = 1.1
    comeback_share: float = 0.3
    longest_retry_s: float = 60.0
    batch_slots_share: float = 0.9
    urgent_overfill: float = 0.15
    overfill: float = 0.0

    choices: int = 2
    affinity: bool = True
    copies: bool = True
    affinity_choices: int = 2
    probes: int = 16
    zone_penalty_s: float = 0.02
    pause_cost_s: float = 0.0
    block_tokens: int = 256
    prefix_entries: int = 20_000
    prefix_ttl_s: float = 300.0
    recheck_s: float = 0.05
    holdoff_wait_s: float = 0.25

    prior_first_s: float = 0.05
    prior_prefill_tokens_per_s: float = 4000.0
    prior_step_s: float = 0.04
    prior_service_s: float = 0.05
    prior_output_share: float = 0.5

    demand_window_s: float = 120.0

    sweep_s: float = 0.5
    slow_factor: float = 1.5
    max_shed_share: float = 0.3
    min_weight: float = 0.02
    shed_step: float = 0.6
    recover_step: float = 0.05
    probe_interval_s: float = 1.0
    stale_report_s: float = 10.0
    lost_after_s: float = 30.0
    frozen_reports: int = 3

    def slots_share(self, priority: Priority) -> float:
        """Return the share of a target's slots that a priority may fill."""
        match priority:
            case Priority.URGENT:
                return 1.0 + self.urgent_overfill
            case Priority.NORMAL:
                return 1.0 + self.overfill
            case Priority.BATCH:
                return self.batch_slots_share
