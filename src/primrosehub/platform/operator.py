"""Decode the operators' configuration, as it is stored."""

from __future__ import annotations

from pydantic import TypeAdapter

from primrosehub.core.clusterconfig import (
    AdviceCost,
    ClusterConfig,
    Queue,
    TeamEntitlement,
)
from primrosehub.platform import wire
from primrosehub.platform.hosts import decode_amount


class _Advice(wire.WireModel):
    decide_latency_ms: float = 0
    per_worker_ms: float = 0
    validity_ms: float = 0


class _Route(wire.WireModel):
    name: str
    host: str
    prefix: str
    service: str
    anonymous: bool = False
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_runtime_ms: float = 0
    timeout_ms: float = 3000
    recommendation: _Advice | None = None


class _Tenant(wire.WireModel):
    name: str
    api_keys: list[str] = []
    weight: float = 1
    # The resources that the tenant may use at once, not a number of tasks.
    max_count: wire.WireAmount = wire.WireAmount()


class _Limits(wire.WireModel):
    max_body_bytes: int = 262_144


class _Config(wire.WireModel):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


_CONFIG = TypeAdapter(_Config)


def decode_config(text: bytes) -> ClusterConfig:
    """Return the configuration; raise ValueError if it is invalid."""
    config = _CONFIG.validate_json(text)
    return ClusterConfig(
        version=config.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        teams={
            tenant.name: TeamEntitlement(
                tenant.name, tenant.weight, decode_amount(tenant.max_count)
            )
            for tenant in config.tenants
        },
        team_of_key={
            key: tenant.name for tenant in config.tenants for key in tenant.api_keys
        },
        max_body_bytes=config.limits.max_body_bytes,
        text=text,
    )


def _decode_queue(route: _Route) -> Queue:
    advice = None
    if route.recommendation is not None:
        advice = AdviceCost(
            route.recommendation.decide_latency_ms / 1000,
            route.recommendation.per_worker_ms / 1000,
            route.recommendation.validity_ms / 1000,
        )
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        team_required=not route.anonymous,
        priority=route.priority,
        max_attempts=route.max_attempts,
        slack_factor=route.slack_factor,
        target_s=route.target_runtime_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        advice=advice,
    )
