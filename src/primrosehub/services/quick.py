"""Forward quick requests to backend servers and retry where that is safe."""

from __future__ import annotations

import time
from contextlib import ExitStack

from primrosehub.border.http_client import NoAnswer, NotSent, Response
from primrosehub.core import keys
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.rules import BackendService
from primrosehub.core.table import (
    ABSENT,
    Applied,
    Conflicted,
    Expect,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.kernel import Kernel
from primrosehub.services._backend import Backend
from primrosehub.services._backend_pool import BackendPool
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import (
    ADMISSION,
    CONFIGURATION,
    HOST_LIST,
    MEMBERSHIP,
    TABLE,
    QuickAnswer,
    QuickRequest,
)

# The first attempt gets at least this share of the time left before the deadline.
FIRST_ATTEMPT_MIN_SHARE = 0.4
MIN_ATTEMPT_TIMEOUT_S = 0.05
SLOW_ANSWER_FACTOR = 10.0  # times a backend server's mean answer time
MAX_RETRY_BUDGET = 20.0  # retries; also the budget at the start
RETRY_BUDGET_PER_REQUEST = 0.1  # retries that each request adds to the budget
NOT_RUN_HEADER = "Primrosehub-Not-Run"  # "true": a backend server had no free slot
_FIRST_SERVER_ERROR_STATUS = 500


class QuickService:
    """Send quick requests to backend servers, within the slots this daemon owns."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._retry_budget = MAX_RETRY_BUDGET
        self._stopping = False

    def start(self, stack: ExitStack) -> None:
        """Start the pool of backend servers."""
        self._configuration = self._kernel.find(CONFIGURATION)
        self._admission = self._kernel.find(ADMISSION)
        self._metrics = self._kernel.find(METRICS)
        self._table = self._kernel.find(TABLE)
        self._pool = BackendPool(
            self._kernel.find(HOST_LIST),
            self._kernel.find(MEMBERSHIP),
            self._metrics,
            self._kernel.tasks(stack),
        )
        stack.callback(self._pool.close)
        self._pool.start()

    def refuse_new(self) -> None:
        """Refuse all requests from now on; those in progress go on."""
        self._stopping = True

    def run(self, request: QuickRequest) -> QuickAnswer:
        """Return the answer of one backend server; raise HubError."""
        service = self._configuration.current.services.get(request.service)
        if service is None:
            raise HubError(
                ErrorKind.NOT_FOUND,
                f"there is no service {request.service!r}; check its name in the path",
            )
        team = self._admission.team_for(
            service.access, request.secret, f"service {service.name}"
        )
        if self._stopping:
            raise HubError(
                ErrorKind.UNAVAILABLE, "this entry daemon is stopping; try again"
            )
        started = time.monotonic()
        try:
            return self._run_with_retries(request, _deadline(request, service), team)
        finally:
            seconds = time.monotonic() - started
            self._metrics.observe("quick_seconds", seconds, service=service.name)

    def _run_with_retries(
        self, request: QuickRequest, deadline: float, team: str
    ) -> QuickAnswer:
        """Try backend servers until one answers.

        A request that is not idempotent is sent to another server only if it
        certainly did not run.
        """
        if not request.idempotent and request.idempotency_key:
            self._record_idempotency_key(request, team)
        self._retry_budget = min(
            MAX_RETRY_BUDGET, self._retry_budget + RETRY_BUDGET_PER_REQUEST
        )
        tried: frozenset[str] = frozenset()
        may_have_run = False
        while True:
            try:
                backend = self._pool.take_slot(request.service, tried, deadline)
            except HubError as error:
                raise _outcome_unknown(request) if may_have_run else error from None
            try:
                response = self._exchange(backend, request, deadline, bool(tried))
                if response.header(NOT_RUN_HEADER) != "true":
                    return _quick_answer(response, backend)
                last_error = HubError(
                    ErrorKind.OVERLOADED,
                    "no backend server that was tried had a free slot; try again",
                )
            except NotSent as error:
                last_error = HubError(ErrorKind.UNAVAILABLE, str(error))
            except NoAnswer:
                may_have_run = True
                last_error = _outcome_unknown(request)
                if not request.idempotent:
                    raise last_error from None
            tried |= {backend.host.name}
            if not self._take_retry(deadline):
                raise _outcome_unknown(request) if may_have_run else last_error

    def _record_idempotency_key(self, request: QuickRequest, team: str) -> None:
        """Store the idempotency key; raise HubError if it was stored before."""
        key = keys.sent_once(team, request.service, request.idempotency_key)
        insert = Transaction((Expect(key, ABSENT),), (Write(key, {}),))
        try:
            outcome = self._table.commit(insert)
        except TableUnavailable as error:
            raise HubError(ErrorKind.UNAVAILABLE, f"{error}; try again") from None
        except TableOutcomeUnknown:
            raise HubError(
                ErrorKind.UNAVAILABLE,
                "it is not known whether the Idempotency-Key was stored; "
                "send the request again with a new key",
            ) from None
        match outcome:
            case Conflicted():
                raise HubError(
                    ErrorKind.ALREADY_SENT,
                    f"a request with the Idempotency-Key {request.idempotency_key!r} "
                    "was sent before; look up its outcome in your own records",
                )
            case Applied():
                return

    def _take_retry(self, deadline: float) -> bool:
        """Take a retry from the budget; return False if none or no time is left."""
        if self._retry_budget < 1.0 or time.monotonic() >= deadline:
            return False
        self._retry_budget -= 1.0
        self._metrics.count("quick_retries")
        return True

    def _exchange(
        self, backend: Backend, request: QuickRequest, deadline: float, is_retry: bool
    ) -> Response:
        started = time.monotonic()
        try:
            response = backend.endpoint.exchange(
                request.method,
                request.target,
                request.headers,
                request.body,
                timeout_s=_attempt_timeout_s(backend, request, deadline, is_retry),
                new_connection=not request.idempotent,
            )
        except (NotSent, NoAnswer):
            self._pool.note_failure(backend, time.monotonic() - started)
            raise
        finally:
            self._pool.release_slot(backend)
        seconds = time.monotonic() - started
        if response.header(NOT_RUN_HEADER) == "true":
            # Entry daemons whose views of the membership differ briefly may send more
            # requests than it has slots. That is not a failure of the server.
            return response
        if response.status >= _FIRST_SERVER_ERROR_STATUS:
            self._pool.note_failure(backend, seconds)
        else:
            backend.note_answer(seconds)
        return response


def _deadline(request: QuickRequest, service: BackendService) -> float:
    max_deadline_s = service.deadline_ms / 1000
    return time.monotonic() + min(request.deadline_s or max_deadline_s, max_deadline_s)


def _attempt_timeout_s(
    backend: Backend, request: QuickRequest, deadline: float, is_retry: bool
) -> float:
    """Return the timeout of this attempt in seconds.

    The first attempt at an idempotent request leaves time for a retry.
    """
    left_s = max(MIN_ATTEMPT_TIMEOUT_S, deadline - time.monotonic())
    if not request.idempotent or is_retry:
        return left_s
    slow_answer_s = max(SLOW_ANSWER_FACTOR * backend.mean_s, MIN_ATTEMPT_TIMEOUT_S)
    return min(left_s, max(slow_answer_s, FIRST_ATTEMPT_MIN_SHARE * left_s))


def _quick_answer(response: Response, backend: Backend) -> QuickAnswer:
    return QuickAnswer(
        response.status, tuple(response.headers), response.body, backend.host.name
    )


def _outcome_unknown(request: QuickRequest) -> HubError:
    hint = (
        "send it again"
        if request.idempotent
        else "check whether it ran before you send it again"
    )
    return HubError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the request was sent, but no complete answer arrived in time; {hint}",
    )
