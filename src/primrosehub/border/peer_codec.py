"""Encode messages between daemons: the type's name, a line break, a JSON body.

A daemon's card is also stored as a row, so another program may have written it.
"""

from __future__ import annotations

import math
from typing import get_args

from primrosehub.border.address import parse_address
from primrosehub.border.codec import decode, encode
from primrosehub.core.peering import PeerCard, PeerMessage, Ping, Pong

MAX_NAME_CHARS = 200
MAX_POWER_CORES = 10_000.0

_TYPES = {kind.__name__: kind for kind in get_args(PeerMessage)}


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return type(message).__name__.encode() + b"\n" + encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Return the message; raise ValueError for anything else."""
    name, _, body = data.partition(b"\n")
    kind = _TYPES.get(name.decode("ascii", "replace"))
    if kind is None:
        raise ValueError(f"unknown message {name[:40]!r}")
    message = decode(kind, body)
    if isinstance(message, Ping | Pong):
        check_card(message.sender)
    return message


def decode_card(value: bytes) -> PeerCard:
    """Return the daemon of a stored row; raise ValueError if the row is invalid."""
    card = decode(PeerCard, value)
    check_card(card)
    return card


def check_card(card: PeerCard) -> None:
    """Raise ValueError if the daemon can not be called or ranked."""
    parse_address(card.address)
    for text in (card.name, card.incarnation):
        if not text or len(text) > MAX_NAME_CHARS:
            raise ValueError(f"{text!r:.60} is no name of 1 to {MAX_NAME_CHARS}")
    if not math.isfinite(card.power) or not 0 < card.power <= MAX_POWER_CORES:
        raise ValueError(f"power: {card.power} is not above 0 and finite")
