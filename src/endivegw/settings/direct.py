"""Settings of a direct router, which calls targets itself."""

from __future__ import annotations

import pathlib

from attrs import frozen

from endivegw.capacity import DEFAULT_TOTAL_SHARE, RouterCapacity
from endivegw.relay.request_intake import DEFAULT_MAX_BODY_S
from endivegw.settings.mechanisms import Mechanisms, read_mechanisms
from endivegw.settings.reader import Address, SettingsReader
from endivegw.types import AvailabilityZone

__all__ = ["DirectRouterSettings", "load_direct_router_settings"]


@frozen
class DirectRouterSettings:
    """Settings of one direct router process.

    :param vm: name of the machine; a restarted process has the same name.
    :param availability_zone: zone of the machine.
    :param callers: address on which the router accepts callers' connections.
    :param ready: address on which the load balancer queries readiness.
    :param peers: address on which the router receives datagrams of other routers.
    :param store: address of the platform's store.
    :param stop_within_s: maximum duration of an orderly stop.
    :param retry_share: retries allowed per request.
    :param retry_burst: retries allowed beyond that share.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    :param metrics: address on which metrics are served; None disables the server.
    :param spread_rows: whether one transaction may write several of the store's
        partitions; the row of each router is then in a partition of its own.
    :param row_lasts_s: how long a router that cannot write to the store continues to
        use the tokens that it drew; other routers then return the remaining tokens.
    :param max_body_s: longest time for the body of a request whose route allows less.
    :param max_connections: connections of callers that may be open at once; None for
        a share of the descriptors.
    :param held_share: share of the machine's memory that may hold data for peers.
    :param max_answer_mb: largest body of an answer that is read whole.
    :param mechanisms: optional mechanisms that are enabled.
    :param capacity: limits of the machine; None if the settings state none, so that
        the router takes on every request.
    """

    vm: str
    availability_zone: AvailabilityZone
    callers: Address
    ready: Address
    peers: Address
    store: Address
    stop_within_s: float
    retry_share: float
    retry_burst: float
    log_level: str
    metrics: Address | None = None
    spread_rows: bool = False
    row_lasts_s: float = 20.0
    max_body_s: float = DEFAULT_MAX_BODY_S
    max_connections: int | None = None
    held_share: float = DEFAULT_TOTAL_SHARE
    max_answer_mb: float = 16.0
    mechanisms: Mechanisms = Mechanisms()
    capacity: RouterCapacity | None = None


def load_direct_router_settings(path: pathlib.Path) -> DirectRouterSettings:
    """Read and validate a settings file.

    :raises SettingsError: for the first invalid value, naming its section and key.
    """
    reader = SettingsReader(path)
    settings = DirectRouterSettings(
        vm=reader.text("process", "vm"),
        availability_zone=AvailabilityZone(reader.text("process", "availability_zone")),
        callers=reader.address("listen", "callers"),
        ready=reader.address("listen", "ready"),
        peers=reader.address("listen", "peers"),
        store=reader.address("store", "address"),
        stop_within_s=reader.number("stop", "grace_s", 8.0, minimum=1.0, maximum=600.0),
        retry_share=reader.number("retries", "share", 0.1, maximum=1.0),
        retry_burst=reader.number("retries", "burst", 10.0),
        spread_rows=reader.flag("store", "spread_rows", False),
        row_lasts_s=reader.number(
            "budgets", "row_lasts_s", 20.0, minimum=2.0, maximum=3600.0
        ),
        max_body_s=reader.number(
            "callers", "max_body_s", DEFAULT_MAX_BODY_S, minimum=1.0, maximum=3600.0
        ),
        max_connections=_read_max_connections(reader),
        held_share=reader.number(
            "capacity", "held_share", DEFAULT_TOTAL_SHARE, minimum=0.05, maximum=0.6
        ),
        max_answer_mb=reader.number(
            "answers", "max_mb", 16.0, minimum=1.0, maximum=1024.0
        ),
        mechanisms=read_mechanisms(reader),
        capacity=_read_capacity(reader),
        metrics=reader.optional_address("metrics", "address"),
        log_level=reader.choice(
            "logs", "level", ("debug", "info", "warning", "error"), "info"
        ),
    )
    reader.reject_unknown_keys()
    return settings


def _read_max_connections(reader: SettingsReader) -> int | None:
    """Read the limit on callers' connections; None if it is absent."""
    limit = reader.optional_positive("callers", "max_connections")
    return None if limit is None else max(1, int(limit))


def _read_capacity(reader: SettingsReader) -> RouterCapacity | None:
    """Read the section ``[capacity]``; None if all its keys are absent."""
    share = reader.optional_positive("capacity", "processor_share")
    cores = reader.optional_positive("capacity", "processor_cores")
    descriptors = reader.optional_positive("capacity", "descriptors")
    capacity = RouterCapacity(
        processor_cores=None if share is None else share * (cores or 1.0),
        link_mbps=reader.optional_positive("capacity", "link_mbps"),
        memory_mb=reader.optional_positive("capacity", "memory_mb"),
        descriptors=None if descriptors is None else int(descriptors),
    )
    return None if capacity == RouterCapacity() else capacity
