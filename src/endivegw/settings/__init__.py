"""Settings of the daemons, read from INI files and validated."""

from typing import TYPE_CHECKING

from endivegw.lazy_exports import lazy_exports

if TYPE_CHECKING:
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

__getattr__ = lazy_exports(
    {
        "endivegw.settings.load": (
            "load_platform_settings",
            "load_router_settings",
            "load_sidecar_settings",
        ),
        "endivegw.settings.model": (
            "HttpLimits",
            "LogSettings",
            "PeerSettings",
            "PlatformSettings",
            "ProcessSettings",
            "RecoverySettings",
            "RouterSettings",
            "SidecarSettings",
            "TargetSettings",
        ),
        "endivegw.settings.reader": (
            "Address",
            "SettingsReader",
        ),
    }
)
