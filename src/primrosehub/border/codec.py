"""Convert data classes to JSON and back, with validation."""

from __future__ import annotations

from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from primrosehub.core.errors import ErrorKind, HubError

T = TypeVar("T")


@cache
def _adapter(kind: type[T]) -> TypeAdapter[T]:
    return TypeAdapter(kind)


def encode(value: Any) -> bytes:
    """Return the value as JSON; fields with their default value are left out."""
    return _adapter(type(value)).dump_json(value, exclude_defaults=True)


def decode(kind: type[T], data: bytes) -> T:
    """Return the value read from JSON; raise ValueError if it is invalid."""
    return _adapter(kind).validate_json(data)


def to_plain(value: Any) -> dict[str, Any]:
    """Return the value as JSON-ready dicts and lists.

    Fields with their default value are left out.
    """
    return _adapter(type(value)).dump_python(value, mode="json", exclude_defaults=True)


def from_plain(kind: type[T], value: Any) -> T:
    """Return the value read from dicts and lists; raise ValueError if invalid."""
    return _adapter(kind).validate_python(value)


def describe_validation_error(error: ValidationError) -> str:
    """Return one line that names each invalid field, its value and what is allowed."""
    return "; ".join(_describe_one(item) for item in error.errors(include_url=False))


def _describe_one(item: Any) -> str:
    field = ".".join(str(part) for part in item["loc"]) or "the whole document"
    if item["type"] in ("missing", "extra_forbidden"):
        return f"{field}: {item['msg']}"
    return f"{field}: {item['msg']}, not {item['input']!r:.80}"


def decode_from_caller(kind: type[T], data: bytes) -> T:
    """Decode a caller's request body; raise bad_request naming the invalid fields."""
    try:
        return decode(kind, data)
    except ValidationError as error:
        raise HubError(
            ErrorKind.BAD_REQUEST, describe_validation_error(error)
        ) from None
