"""The platform's paths, headers and the base of its message models."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

START = "/primrosehub/run-start"
STOP = "/primrosehub/run-stop"
# Renews the lease of all that runs on a host and lists it.
HOLD = "/primrosehub/hold"
ADVISE = "/primrosehub/advise"
READY = "/primrosehub/readyz"
ROWS_TX = "/primrosehub/rows-tx"
ROWS_GET = "/primrosehub/rows-get"
ROWS_FEED = "/primrosehub/rows-feed"
ROWS_PARTS = "/primrosehub/rows-parts"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
HOSTS_TABLE = "servers"

EXPECTED_INSTANCE = "Primrosehub-Expected-Instance"
DEADLINE_MS = "Primrosehub-Deadline-Ms"
JSON_HEADERS = (("Content-Type", "application/json"),)


def _on_the_wire(name: str) -> str:
    return name.replace("_", "-")


class WireModel(BaseModel):
    """Validate a message whose fields are spelled with hyphens on the wire."""

    model_config = ConfigDict(
        extra="ignore",
        frozen=True,
        alias_generator=_on_the_wire,
        populate_by_name=True,
    )


class WireAmount(WireModel):
    """Hold an amount of each resource; zero fields are left out on the wire."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
