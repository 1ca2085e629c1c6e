"""Adapters for what stands behind a sidecar: model engines and plain services."""

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
    "OrderKind",
    "ServiceAnswerHead",
    "ServicePort",
    "ServiceRequest",
]
