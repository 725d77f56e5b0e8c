"""Client of the operators' HTTP API; it sends each request to one control process after another."""

import asyncio
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self, TypeVar

import aiohttp
import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.operator_bodies import (
    Accepted,
    ConfigurationBody,
    HistoryBody,
    MembersBody,
    OperatorErrorBody,
    RoutersBody,
    StatusBody,
    SubmitReplyBody,
    WorkersBody,
)
from orchidpath.control.api.plan_bodies import (
    PlanActionBody,
    PlanActionReplyBody,
    PlanBody,
    PlanErrorBody,
)
from orchidpath.wire.messages import PlanAction

CONNECT_TIMEOUT_SECONDS = 2.0
"""Bound on connecting to one control process."""

READ_TIMEOUT_SECONDS = 10.0
"""Bound on the response of one control process; a confirmation takes up to a few seconds."""

_OK = 200
_ACCEPTED = 202
_FIRST_SERVER_ERROR = 500

BodyT = TypeVar("BodyT", bound=msgspec.Struct)
ErrorBodyT = TypeVar("ErrorBodyT", OperatorErrorBody, PlanErrorBody)


class NoControlAnswersError(OrchidpathError):
    """No control process answered a read; the message lists the failure of each."""


class UpdateRefusedError(OrchidpathError):
    """An update is invalid or not built on the current version; nothing changed."""

    def __init__(self, body: OperatorErrorBody) -> None:
        super().__init__(body.error.message)
        self.body = body


class PlanRefusedError(OrchidpathError):
    """An action on a plan was rejected; nothing changed."""

    def __init__(self, body: PlanErrorBody) -> None:
        super().__init__(body.error.message)
        self.body = body


class UpdateRejectedError(OrchidpathError):
    """No control process could accept an update or action; nothing changed."""


class UpdateOutcomeUnknownError(OrchidpathError):
    """An update or action got no answer and may have been accepted.

    It is safe to send it again with the same order id.
    """


class _Change(msgspec.Struct, frozen=True):
    """A request that changes state; it can be repeated safely since its body has an order id."""

    method: str
    path: str
    content: bytes
    accepted_statuses: frozenset[int]


class _Answer(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes


class OperatorClient:
    """Client of several control processes; use it as an async context manager.

    Parameters
    ----------
    addresses
        Base addresses, with or without ``http://``; tried in this order.
    read_timeout_seconds
        Bound on the response of one control process.
    """

    def __init__(
        self, addresses: Sequence[str], read_timeout_seconds: float = READ_TIMEOUT_SECONDS
    ) -> None:
        self._addresses = tuple(_base_address(address) for address in addresses)
        self._timeout = aiohttp.ClientTimeout(
            total=read_timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def configuration(self) -> ConfigurationBody:
        """Return the current configuration and its version."""
        return await self._get("/v1/configuration", ConfigurationBody)

    async def history(self) -> HistoryBody:
        """Return the newest configurations, oldest first."""
        return await self._get("/v1/configuration/history", HistoryBody)

    async def members(self) -> MembersBody:
        """Return the registered control replicas."""
        return await self._get("/v1/members", MembersBody)

    async def routers(self) -> RoutersBody:
        """Return the registered routers."""
        return await self._get("/v1/routers", RoutersBody)

    async def workers(self) -> WorkersBody:
        """Return the workers and their circuits."""
        return await self._get("/v1/workers", WorkersBody)

    async def statuses(self) -> dict[str, StatusBody | None]:
        """Return the status of each control process by address; None if it does not answer."""
        statuses = await asyncio.gather(*map(self._status_of, self._addresses))
        return dict(zip(self._addresses, statuses, strict=True))

    async def submit(
        self, order_id: str, base_version: int, configuration: object
    ) -> SubmitReplyBody:
        """Submit a configuration to one control process after another until one decides it.

        The order id makes this safe: however many processes receive the update, it takes effect at
        most once.

        Parameters
        ----------
        order_id
            Identifier of this update; every repetition uses the same one.
        base_version
            Version that the configuration is built on.
        configuration
            A complete configuration, typed or as plain data.

        Raises
        ------
        UpdateRefusedError
            The update is invalid or not built on the current version; nothing changed.
        UpdateRejectedError
            No process could accept it; nothing changed.
        UpdateOutcomeUnknownError
            At least one process may have accepted it.
        """
        update = {
            "order_id": order_id,
            "base_version": base_version,
            "configuration": configuration,
        }
        change = _Change(
            "PUT", "/v1/configuration", msgspec.json.encode(update), frozenset({_OK, _ACCEPTED})
        )
        return await self._submit_to_any(
            change, SubmitReplyBody, OperatorErrorBody, UpdateRefusedError
        )

    async def plan(self) -> PlanBody:
        """Return a preview of the plan that would be made now, and the newest started plan."""
        return await self._get("/v1/plan", PlanBody)

    async def request_plan_action(
        self, action: PlanAction, plan_id: str, order_id: str
    ) -> PlanActionReplyBody:
        """Confirm, halt, resume or cancel a plan; the order id makes it safe to repeat.

        Raises
        ------
        PlanRefusedError
            The action was rejected; nothing changed.
        UpdateRejectedError
            No process could accept it; nothing changed.
        UpdateOutcomeUnknownError
            At least one process may have accepted it.
        """
        body = PlanActionBody(plan_id=plan_id, order_id=order_id)
        change = _Change("POST", f"/v1/plan/{action}", msgspec.json.encode(body), frozenset({_OK}))
        return await self._submit_to_any(
            change, PlanActionReplyBody, PlanErrorBody, PlanRefusedError
        )

    async def _submit_to_any(
        self,
        change: _Change,
        accepted_type: type[BodyT],
        rejected_type: type[ErrorBodyT],
        rejected_error: Callable[[ErrorBodyT], OrchidpathError],
    ) -> BodyT:
        """Submit a change to one process after another until one accepts or rejects it.

        Raises
        ------
        OrchidpathError
            The error that ``rejected_error`` returns for a rejection; nothing changed.
        UpdateRejectedError
            No process could accept it; nothing changed.
        UpdateOutcomeUnknownError
            At least one process may have accepted it.
        """
        may_be_accepted = False
        failures: list[str] = []
        for address in self._addresses:
            try:
                answer = await self._exchange(address, change.method, change.path, change.content)
                if answer.status in change.accepted_statuses:
                    return _decode(answer.body, accepted_type)
                rejection = _decode(answer.body, rejected_type)
            except _AnswerError as error:
                may_be_accepted = may_be_accepted or error.sent
                failures.append(f"{address}: {error}")
                continue
            if answer.status < _FIRST_SERVER_ERROR:
                raise rejected_error(rejection)
            may_be_accepted = may_be_accepted or rejection.error.accepted is not Accepted.NO
            failures.append(f"{address}: {answer.status} {rejection.error.message}")
        if may_be_accepted:
            raise UpdateOutcomeUnknownError("; ".join(failures))
        raise UpdateRejectedError("; ".join(failures))

    async def _status_of(self, address: str) -> StatusBody | None:
        try:
            return await self._get_from(address, "/v1/status", StatusBody)
        except _AnswerError:
            return None

    async def _get(self, path: str, expected: type[BodyT]) -> BodyT:
        failures: list[str] = []
        for address in self._addresses:
            try:
                return await self._get_from(address, path, expected)
            except _AnswerError as error:
                failures.append(f"{address}: {error}")
        raise NoControlAnswersError("; ".join(failures) or "no address of a control process given")

    async def _get_from(self, address: str, path: str, expected: type[BodyT]) -> BodyT:
        answer = await self._exchange(address, "GET", path, b"")
        if answer.status != _OK:
            raise _AnswerError(f"answered with HTTP status {answer.status}", sent=True)
        return _decode(answer.body, expected)

    async def _exchange(self, address: str, method: str, path: str, content: bytes) -> _Answer:
        assert self._session is not None, "OperatorClient used outside its async context"
        try:
            async with self._session.request(method, f"{address}{path}", data=content) as response:
                return _Answer(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _AnswerError(f"cannot connect: {error}", sent=False) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _AnswerError(f"no response: {error or 'timed out'}", sent=True) from error
        except ValueError as error:
            raise _AnswerError(f"invalid address: {error}", sent=False) from error


class _AnswerError(OrchidpathError):
    """A control process gave no usable response.

    ``sent`` is False only if the process cannot have received the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


def _base_address(address: str) -> str:
    address = address.rstrip("/")
    return address if "://" in address else f"http://{address}"


def _decode(body: bytes, expected: type[BodyT]) -> BodyT:
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _AnswerError(f"unexpected response body: {error}", sent=True) from error
