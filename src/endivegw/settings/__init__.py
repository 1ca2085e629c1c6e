"""Settings of the daemons, read from INI files and validated."""

from endivegw.settings.load import (
    load_platform_settings,
    load_router_settings,
    load_sidecar_settings,
)
from endivegw.settings.model import (
    HttpLimits,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    RecoverySettings,
    RouterSettings,
    SidecarSettings,
    TargetSettings,
)
from endivegw.settings.reader import Address, SettingsReader

__all__ = [
    "Address",
    "HttpLimits",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "RecoverySettings",
    "RouterSettings",
    "SettingsReader",
    "SidecarSettings",
    "TargetSettings",
    "load_platform_settings",
    "load_router_settings",
    "load_sidecar_settings",
]
