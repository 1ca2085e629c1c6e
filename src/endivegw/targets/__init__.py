"""Adapters for the targets beside a sidecar: model engines and plain services."""

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
