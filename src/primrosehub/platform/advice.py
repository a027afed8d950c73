"""Client of the platform's service that says which worker hosts may run a step."""

from __future__ import annotations

import orjson
from pydantic import TypeAdapter

from primrosehub.border.address import parse_address
from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.core.fleet import Advice
from primrosehub.platform import wire


class AdviceUnavailable(Exception):
    """Report that the service gave no advice, and why."""


class _AdviceAnswer(wire.WireModel):
    # Pairs of a worker host and the ticket that a start on it must carry.
    allowed: list[tuple[wire.Text, wire.Token]]
    validity_ms: wire.Amount = 0


_ANSWER = TypeAdapter(_AdviceAnswer)


class AdviceClient:
    """Ask for advice over connections that are kept open."""

    def __init__(self, address: str) -> None:
        parsed = parse_address(address)
        self._endpoint = HttpEndpoint(parsed.ip, parsed.port)

    def close(self) -> None:
        """Close the idle connections."""
        self._endpoint.close()

    def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout_s: float
    ) -> Advice:
        """Return those of the hosts that may run the step; raise AdviceUnavailable."""
        body = orjson.dumps({"step-id": f"{job}.{occurrence}.{step}", "workers": hosts})
        try:
            response = self._endpoint.exchange(
                "POST", wire.ADVISE_PATH, wire.JSON_HEADERS, body, timeout_s=timeout_s
            )
        except (NotSent, NoAnswer) as error:
            raise AdviceUnavailable(str(error)) from None
        if response.status != 200:
            raise AdviceUnavailable(f"unexpected status {response.status}")
        try:
            return decode_advice(response.body)
        except ValueError as error:
            raise AdviceUnavailable(f"invalid response: {error}") from None


def decode_advice(body: bytes) -> Advice:
    """Return the advice of a response; raise ValueError if it is invalid."""
    answer = _ANSWER.validate_json(body)
    return Advice(dict(answer.allowed), answer.validity_ms / 1000)
