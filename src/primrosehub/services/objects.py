"""The HTTP client of the platform's object store."""

from __future__ import annotations

from contextlib import ExitStack

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.kernel import Kernel

_TIMEOUT_S = 5.0
_OK, _CREATED, _NOT_FOUND = 200, 201, 404


class ObjectsClient:
    """Store and read objects; a name is never reused for other content."""

    def __init__(self, kernel: Kernel) -> None:
        address = kernel.settings.platform.objects
        self._endpoint = HttpEndpoint(str(address.ip), address.port)

    def start(self, stack: ExitStack) -> None:
        """Close the connections when the stack closes."""
        stack.callback(self._endpoint.close)

    def put(self, name: str, content: bytes) -> None:
        """Store an object; raise HubError if the store is unavailable."""
        response = self._exchange("PUT", name, content)
        if response.status not in (_OK, _CREATED):
            raise _unavailable(f"it answered with status {response.status}")

    def get(self, name: str) -> bytes | None:
        """Return an object or None; raise HubError if the store is unavailable."""
        response = self._exchange("GET", name, b"")
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise _unavailable(f"it answered with status {response.status}")
        return response.body

    def _exchange(self, method: str, name: str, body: bytes) -> Response:
        try:
            return self._endpoint.exchange(
                method, f"/v1/objects/{name}", body=body, timeout_s=_TIMEOUT_S
            )
        except (NotSent, NoAnswer) as error:
            raise _unavailable(str(error)) from None


def _unavailable(reason: str) -> HubError:
    return HubError(
        ErrorKind.UNAVAILABLE, f"the object store is unavailable: {reason}; try again"
    )
