"""Limits of admission, queueing, placement and health, with their reasons."""

from __future__ import annotations

from attrs import frozen

from endivegw.types import Priority

__all__ = ["Policy"]


@frozen
class Policy:
    """Hold the limits of admission, queueing, placement and health.

    Queueing and admission:

    :param queue_items: maximum number of requests in one model's queue. It keeps memory
        and the cost of expiring requests from growing with the length of an overload.
    :param idle_margin: factor on the expected time of a request that can start now.
        Below 1, because a pessimistic estimate would refuse requests that an idle
        target finishes in time.
    :param queue_margin: factor on the expected time of a request that must queue. Below
        1 it would admit requests that finish late, each of which takes a slot from a
        request that would be on time in an overload.
    :param queue_deviations: standard deviations of the output length added to the
        expected time of a request that must queue. Lengths vary widely, and the mean is
        exceeded in half of the cases.
    :param best_effort_margin: factor on the expected time that decides until when a
        queued request is still served if no other request needs the slot.
    :param wait_margin: factor on the expected wait, to allow for requests of higher
        priority that arrive meanwhile.
    :param share_tolerance_s: slot-seconds per unit of weight that a client account may
        be ahead of its share while its request with the least slack is served first.
    :param eviction_factor: minimum ratio of service times at which a queued request is
        evicted for a new one of the same account, where not both can finish in time.
    :param retry_capacity_share: share of the served requests reserved for callers who
        retry after a refusal; the rest is for new callers.
    :param max_retry_after_s: upper limit of the retry time sent to callers.
    :param batch_slots_share: share of a target's slots open to batch requests. While
        long requests saturate the fleet, the rest stays free for interactive callers,
        who would otherwise wait until a long request ends.
    :param urgent_overfill: requests beyond its slots that a target takes for urgent
        callers, as a share of the slots. The engine starts urgent requests first.
    :param overfill: the same for normal requests. A little lets routers in that find
        all slots taken by others, and keeps the engine's batch full while a report is
        on its way.

    Placement:

    :param choices: targets drawn for one placement. Two reduce the peak load of the
        fullest target; many would all choose the same least loaded target while reports
        lag.
    :param affinity: whether targets that have parts of a prompt cached are preferred.
    :param copies: whether a target is instructed to copy cached tokens from another.
    :param affinity_choices: number of targets compared because they are expected to
        have a prefix of the prompt cached.
    :param probes: draws before a request is queued because all drawn targets were full.
        It bounds the cost of a placement in a fleet of any size.
    :param zone_penalty_s: time that a target in another availability zone must save to
        be worth the network hop.
    :param pause_cost_s: cost of making one running answer pause for too long, in
        seconds of the answer to the prompt that causes the pause.
    :param separate_prompts: whether long prompts prefer targets of their own.
    :param block_tokens: prompt tokens that each prefix digest covers.
    :param prefix_entries: maximum number of entries in the prefix index.
    :param prefix_ttl_s: time after which a cached prefix that was not confirmed is
        ignored.
    :param recheck_s: interval at which free slots are assigned to queued requests
        without an event.
    :param bound_wait_s: longest wait of a request that only targets of one software
        version may run. It continues a stream, and callers leave a stream after a
        pause of 2 s at the earliest.
    :param max_backoff_wait_s: longest wait of a request while all targets asked for a
        pause. If the first target accepts requests later, callers are refused with the
        time until then.

    Initial estimates, used until there are samples:

    :param prior_first_s: time to the first token of a fully cached prompt.
    :param prior_prefill_tokens_per_s: speed of reading a prompt.
    :param prior_step_s: time between tokens.
    :param prior_service_s: time of one call to a plain service.
    :param prior_output_share: generated tokens as a share of the request's output
        limit.

    Scaling:

    :param demand_window_s: period over which the demand for a model is averaged. With a
        shorter one, models would be loaded and unloaded with every burst.

    Health:

    :param sweep_s: interval at which health is evaluated.
    :param slow_factor: ratio to its peers' time above which a target sheds load. Below
        it the placement's own cost estimate is enough.
    :param max_shed_share: maximum share of a model's capacity that health may remove.
        If most targets look unhealthy, the cause is elsewhere, and the rest would be
        overloaded.
    :param min_weight: minimum weight of a target, so that it is still probed.
    :param shed_step: factor by which a target's weight may fall per sweep.
    :param recover_step: amount by which a target's weight may rise per sweep. A
        recovered target is filled slowly, because every router finds it empty.
    :param probe_interval_s: time between probes of a target that was shed.
    :param stale_report_s: age above which a report no longer counts.
    :param lost_after_s: time after its deadline at which an attempt whose end was not
        reported counts as ended.
    :param frozen_reports: number of equal reports in a row, while requests came and
        went, after which a target's reports are ignored.
    """

    queue_items: int = 512
    idle_margin: float = 0.7
    queue_margin: float = 1.0
    queue_deviations: float = 0.25
    best_effort_margin: float = 0.7
    wait_margin: float = 1.0
    share_tolerance_s: float = 10.0
    eviction_factor: float = 1.1
    retry_capacity_share: float = 0.3
    max_retry_after_s: float = 60.0
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
    separate_prompts: bool = False
    block_tokens: int = 256
    prefix_entries: int = 20_000
    prefix_ttl_s: float = 300.0
    recheck_s: float = 0.05
    bound_wait_s: float = 0.8
    max_backoff_wait_s: float = 0.25

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
