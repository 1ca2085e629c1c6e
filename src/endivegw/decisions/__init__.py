"""Load management decisions: admission, queueing, placement, retries and scaling.

All modules are free of I/O: none reads a clock, a socket or a file. Each function that
depends on the time takes it as an argument.
"""

from endivegw.decisions.dispatcher import Dispatcher
from endivegw.decisions.policy import Policy
from endivegw.decisions.prefix import PrefixScheme, prefix_digests
from endivegw.decisions.retry import RetryBudget, RetryPolicy, backoff_s
from endivegw.decisions.scaling import (
    DemandMeter,
    LoadedTarget,
    PlannedOrder,
    ScalingPolicy,
    plan_orders,
)
from endivegw.decisions.send_permits import (
    PermitRequest,
    Permits,
    SendLimit,
    SendSchedule,
)
from endivegw.decisions.subset import SubsetPolicy, choose_subset, subset_size
from endivegw.decisions.warm_up import (
    NO_SENDS,
    SendQuota,
    WarmUp,
    WarmUpLimits,
    send_quota,
)
from endivegw.decisions.work import (
    SERVICE_PREFIX,
    AttemptEnd,
    AttemptKind,
    Expired,
    LoadFigures,
    LocalLoad,
    Placement,
    PlacementFigures,
    Queued,
    TargetView,
    WorkItem,
)

__all__ = [
    "AttemptEnd",
    "AttemptKind",
    "DemandMeter",
    "Dispatcher",
    "Expired",
    "LoadFigures",
    "LocalLoad",
    "LoadedTarget",
    "NO_SENDS",
    "Placement",
    "PlacementFigures",
    "PermitRequest",
    "Permits",
    "PlannedOrder",
    "Policy",
    "PrefixScheme",
    "Queued",
    "RetryBudget",
    "RetryPolicy",
    "SERVICE_PREFIX",
    "ScalingPolicy",
    "SendLimit",
    "SendQuota",
    "SendSchedule",
    "SubsetPolicy",
    "TargetView",
    "WarmUp",
    "WarmUpLimits",
    "WorkItem",
    "backoff_s",
    "choose_subset",
    "plan_orders",
    "prefix_digests",
    "send_quota",
    "subset_size",
]
