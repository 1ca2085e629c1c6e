"""Adapters for the targets beside a sidecar: model engines and plain services."""

from typing import TYPE_CHECKING

from endivegw.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from endivegw.targets.http_service import HttpService
    from endivegw.targets.openai_engine import OpenAiEngine
    from endivegw.targets.ports import (
        CacheChange,
        EngineEnded,
        EngineEvent,
        EngineFailed,
        EngineLoad,
        EngineOrder,
        EnginePort,
        EngineRequest,
        EngineText,
        OrderKind,
        ServiceAnswerHead,
        ServicePort,
        ServiceRequest,
    )

__all__ = [
    "CacheChange",
    "EngineEnded",
    "EngineEvent",
    "EngineFailed",
    "EngineLoad",
    "EngineOrder",
    "EnginePort",
    "EngineRequest",
    "EngineText",
    "HttpService",
    "OpenAiEngine",
    "OrderKind",
    "ServiceAnswerHead",
    "ServicePort",
    "ServiceRequest",
]

__getattr__ = lazy_exports(
    {
        "endivegw.targets.http_service": ("HttpService",),
        "endivegw.targets.openai_engine": ("OpenAiEngine",),
        "endivegw.targets.ports": (
            "CacheChange",
            "EngineEnded",
            "EngineEvent",
            "EngineFailed",
            "EngineLoad",
            "EngineOrder",
            "EnginePort",
            "EngineRequest",
            "EngineText",
            "OrderKind",
            "ServiceAnswerHead",
            "ServicePort",
            "ServiceRequest",
        ),
    }
)
