"""Encode messages between daemons: the type's name, a line break, a JSON body."""

from __future__ import annotations

from typing import get_args

from primrosehub.border.codec import decode, encode
from primrosehub.core.peering import PeerMessage

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
    return decode(kind, body)
