"""The platform's paths, tables and headers, and the base of its message models."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from primrosehub.core.batch import MAX_AMOUNT, MAX_TIME_MS

START_PATH = "/primrosehub/run-start"
STOP_PATH = "/primrosehub/run-stop"
# Renews the lease of the attempts on a worker host and lists them.
HOLD_PATH = "/primrosehub/hold"
ADVISE_PATH = "/primrosehub/advise"
READY_PATH = "/primrosehub/readyz"
ROWS_TX_PATH = "/primrosehub/rows-tx"
ROWS_GET_PATH = "/primrosehub/rows-get"
ROWS_FEED_PATH = "/primrosehub/rows-feed"
ROWS_PARTS_PATH = "/primrosehub/rows-parts"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
HOSTS_TABLE = "servers"  # of worker hosts

# The id of the worker host that a request is meant for.
EXPECTED_INSTANCE_HEADER = "Primrosehub-Expected-Instance"
# How long a caller waits for the response, not a point in time.
DEADLINE_MS_HEADER = "Primrosehub-Deadline-Ms"
JSON_HEADERS = (("Content-Type", "application/json"),)


MAX_TEXT_CHARS = 1000  # of a name or a label
MAX_TOKEN_CHARS = 65_536  # of a checkpoint or a ticket, which only hosts read
MAX_LABELS = 100  # of one worker host
MAX_LISTED_ENDS = 500  # in one report of a worker host

Amount = Annotated[int, Field(ge=0, le=MAX_AMOUNT)]
TimeMs = Annotated[int, Field(ge=0, le=MAX_TIME_MS)]
Finite = Annotated[float, Field(ge=0, le=MAX_AMOUNT, allow_inf_nan=False)]
Text = Annotated[str, Field(max_length=MAX_TEXT_CHARS)]
Token = Annotated[str, Field(max_length=MAX_TOKEN_CHARS)]


def _to_wire_name(name: str) -> str:
    return name.replace("_", "-")


class WireModel(BaseModel):
    """Validate a message whose fields are spelled with hyphens on the wire."""

    model_config = ConfigDict(
        extra="ignore",
        frozen=True,
        alias_generator=_to_wire_name,
        populate_by_name=True,
    )


class WireAmount(WireModel):
    """Hold an amount of each resource; fields that are 0 may be absent."""

    cpu: Amount = 0  # millicores
    mem_mb: Amount = 0
    gpu: Amount = 0  # accelerators
