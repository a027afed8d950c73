"""Decode the operators' configuration, as it is stored."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

from pydantic import FailFast, TypeAdapter, ValidationError

from primrosehub.border.codec import describe_validation_error
from primrosehub.core.clusterconfig import (
    AdviceCost,
    ClusterConfig,
    Queue,
    TeamEntitlement,
)
from primrosehub.platform import wire
from primrosehub.platform.hosts import decode_amount

MAX_DESCRIBED_PROBLEMS = 20  # parts of one configuration whose errors are told


class _Advice(wire.WireModel):
    decide_latency_ms: wire.Finite = 0
    per_worker_ms: wire.Finite = 0
    validity_ms: wire.Finite = 0


class _Route(wire.WireModel):
    name: wire.Text
    host: wire.Text
    prefix: wire.Text
    service: wire.Text
    anonymous: bool = False
    priority: wire.Amount = 0
    max_attempts: wire.Amount = 1
    slack_factor: wire.Finite = 1.0
    target_runtime_ms: wire.Finite = 0
    timeout_ms: wire.Finite = 3000
    recommendation: _Advice | None = None


class _Tenant(wire.WireModel):
    name: wire.Text
    api_keys: list[wire.Text] = []
    weight: wire.Finite = 1
    # The resources that the tenant may use at once, not a number of tasks.
    max_count: wire.WireAmount = wire.WireAmount()


class _Limits(wire.WireModel):
    max_body_bytes: wire.Amount = 262_144


class _Config(wire.WireModel):
    version: wire.TimeMs
    routes: Annotated[list[_Route], FailFast()] = []
    tenants: Annotated[list[_Tenant], FailFast()] = []
    limits: _Limits = _Limits()


class _ConfigWithOddParts(_Config):
    # Decoded one by one, so that an invalid one costs only itself.
    routes: list[Any] = []  # type: ignore[assignment]
    tenants: list[Any] = []  # type: ignore[assignment]


_CONFIG = TypeAdapter(_Config)
_CONFIG_WITH_ODD_PARTS = TypeAdapter(_ConfigWithOddParts)
_ROUTE = TypeAdapter(_Route)
_TENANT = TypeAdapter(_Tenant)
_Part = TypeVar("_Part", _Route, _Tenant)


def decode_config(text: bytes) -> tuple[ClusterConfig, tuple[str, ...]]:
    """Return the configuration and what is wrong with each part that was left out.

    Raise ValueError if the document itself is invalid.
    """
    try:
        return _to_cluster_config(_CONFIG.validate_json(text), text), ()
    except ValidationError:
        pass
    try:
        document = _CONFIG_WITH_ODD_PARTS.validate_json(text)
    except ValidationError as error:
        raise ValueError(describe_validation_error(error)) from None
    problems: list[str] = []
    config = _Config.model_construct(
        version=document.version,
        routes=_decode_parts(_ROUTE, "routes", document.routes, problems),
        tenants=_decode_parts(_TENANT, "tenants", document.tenants, problems),
        limits=document.limits,
    )
    return _to_cluster_config(config, text), tuple(problems)


def _decode_parts(
    adapter: TypeAdapter[_Part], name: str, parts: list[Any], problems: list[str]
) -> list[_Part]:
    """Return the valid parts and add a line on each other one to ``problems``."""
    valid = []
    for number, part in enumerate(parts):
        try:
            valid.append(adapter.validate_python(part))
        except ValidationError as error:
            text = f"{name}.{number}"
            if len(problems) < MAX_DESCRIBED_PROBLEMS:
                text += f": {describe_validation_error(error)}"
            problems.append(text)
    return valid


def _to_cluster_config(config: _Config, text: bytes) -> ClusterConfig:
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
