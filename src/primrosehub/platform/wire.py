"""The platform's paths, headers and the base of its message models."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

START_PATH = "/primrosehub/run-start"
STOP_PATH = "/primrosehub/run-stop"
# Renews the lease of all that runs on a host and lists it.
HOLD_PATH = "/primrosehub/hold"
ADVISE_PATH = "/primrosehub/advise"
READY_PATH = "/primrosehub/readyz"
ROWS_TX_PATH = "/primrosehub/rows-tx"
ROWS_GET_PATH = "/primrosehub/rows-get"
ROWS_FEED_PATH = "/primrosehub/rows-feed"
ROWS_PARTS_PATH = "/primrosehub/rows-parts"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
HOSTS_TABLE = "servers"

EXPECTED_INSTANCE_HEADER = "Primrosehub-Expected-Instance"
DEADLINE_MS_HEADER = "Primrosehub-Deadline-Ms"
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
