"""The HTTP client of the platform's host list, which lags behind the hosts' state."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import ExitStack

import gevent
from pydantic import ValidationError

from primrosehub.border.codec import decode, describe_validation_error
from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.core.logs import log
from primrosehub.core.platform import Host
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS

_TIMEOUT_S = 5.0
_OK, _NOT_MODIFIED = 200, 304


class HostListClient:
    """Poll the host list; keep the last one while the platform does not answer."""

    def __init__(self, kernel: Kernel) -> None:
        platform = kernel.settings.platform
        self._kernel = kernel
        self._poll_s: float = platform.host_poll_s
        address = platform.host_list
        self._endpoint = HttpEndpoint(str(address.ip), address.port, max_idle=1)
        self._hosts: dict[str, Host] = {}
        self._etag = ""

    def start(self, stack: ExitStack) -> None:
        """Read the list once, then start the task that polls it."""
        stack.callback(self._endpoint.close)
        self._endpoint.on_bytes_transferred = self._kernel.find(METRICS).byte_counter(
            "host-list"
        )
        self._poll()
        self._kernel.tasks(stack).spawn("host-list", self._run)

    def hosts(self) -> Mapping[str, Host]:
        """Return the hosts by name."""
        return self._hosts

    def _run(self) -> None:
        while True:
            gevent.sleep(self._poll_s if self._hosts else 1.0)
            self._poll()

    def _poll(self) -> None:
        headers = (("If-None-Match", self._etag),) if self._etag else ()
        try:
            response = self._endpoint.exchange(
                "GET", "/v1/hosts", headers, timeout_s=_TIMEOUT_S
            )
            if response.status == _NOT_MODIFIED:
                return
            if response.status != _OK:
                raise NoAnswer(f"the platform answered with status {response.status}")
            hosts = decode(list[Host], response.body)
        except (NotSent, NoAnswer) as error:
            log("host_list_unavailable", reason=str(error))
            return
        except ValidationError as error:
            log("host_list_malformed", reason=describe_validation_error(error)[:400])
            return
        self._hosts = {host.name: host for host in hosts}
        self._etag = response.header("ETag")
        log("host_list_read", hosts=len(hosts))
