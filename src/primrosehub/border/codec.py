"""Turn data classes into JSON and back, validated."""

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
    """Return the value as JSON without its default fields."""
    return _adapter(type(value)).dump_json(value, exclude_defaults=True)


def decode(kind: type[T], data: bytes) -> T:
    """Return the value read from JSON; raise ValueError for a wrong one."""
    return _adapter(kind).validate_json(data)


def to_plain(value: Any) -> dict[str, Any]:
    """Return the value as JSON-ready dicts and lists without its default fields."""
    return _adapter(type(value)).dump_python(value, mode="json", exclude_defaults=True)


def from_plain(kind: type[T], value: Any) -> T:
    """Return the value read from dicts and lists; raise ValueError for wrong ones."""
    return _adapter(kind).validate_python(value)


def describe_validation_error(error: ValidationError) -> str:
    """Return each wrong field, its value and what is allowed, in one line."""
    return "; ".join(_describe_one(item) for item in error.errors(include_url=False))


def _describe_one(item: Any) -> str:
    place = ".".join(str(part) for part in item["loc"]) or "the whole"
    if item["type"] in ("missing", "extra_forbidden"):
        return f"{place}: {item['msg']}"
    return f"{place}: {item['msg']}, not {item['input']!r:.80}"


def decode_from_caller(kind: type[T], data: bytes) -> T:
    """Decode a caller's body; raise a bad_request that names the wrong fields."""
    try:
        return decode(kind, data)
    except ValidationError as error:
        raise HubError(
            ErrorKind.BAD_REQUEST, describe_validation_error(error)
        ) from None
