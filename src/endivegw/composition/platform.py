"""Open clients of the platform services that the settings name."""

from __future__ import annotations

import random
from typing import Awaitable, Callable

from attrs import frozen

from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.services import ObjectStorePort, TablePort, WeightStorePort
from endivegw.services.dynamo_table import DynamoTable
from endivegw.services.guarded import (
    GuardedObjects,
    GuardedTable,
    GuardedVmList,
    GuardedWeightStore,
)
from endivegw.services.http_vm_list import HttpVmList
from endivegw.services.s3_objects import S3Objects
from endivegw.services.signing import Credentials
from endivegw.services.weight_store import HttpWeightStore
from endivegw.settings import PlatformSettings
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.membership import VM_UNREADABLE

__all__ = ["Platform", "open_platform"]


@frozen
class Platform:
    """Clients of the platform services that a daemon uses."""

    table: TablePort
    objects: ObjectStorePort
    vms: ObservedVmList
    weights: WeightStorePort
    closers: tuple[Callable[[], Awaitable[None]], ...] = ()

    async def close(self) -> None:
        """Close the connections to all services."""
        for close in self.closers:
            await close()


def open_platform(
    settings: PlatformSettings,
    client_name: str,
    clock: Callable[[], float],
    rng: random.Random,
) -> Platform:
    """Return the service clients, each behind its retry and overload guard.

    :param client_name: sent to the services with each call.
    """
    credentials = _credentials(settings)
    table = DynamoTable(
        settings.table_url, credentials=credentials, client_name=client_name
    )
    objects = S3Objects(
        settings.object_store_url, credentials=credentials, client_name=client_name
    )
    log = EventLog("platform")
    vms = HttpVmList(
        settings.vm_list_url,
        client_name=client_name,
        on_unreadable=lambda error: log.emit(VM_UNREADABLE, detail=str(error)),
    )
    weights = HttpWeightStore(settings.weight_store_url, client_name=client_name)
    return Platform(
        table=GuardedTable(table, daemons=settings.fleet_daemons, random_source=rng),
        objects=GuardedObjects(objects, random_source=rng),
        vms=ObservedVmList(GuardedVmList(vms, random_source=rng), clock),
        weights=GuardedWeightStore(weights, random_source=rng),
        closers=(table.close, objects.close, vms.close, weights.close),
    )


def _credentials(settings: PlatformSettings) -> Credentials | None:
    if settings.secret_key_file is None:
        return None
    secret = settings.secret_key_file.read_text(encoding="utf-8").strip()
    return Credentials(settings.access_key_id, secret)
