"""Client of the operators' HTTP API: tries each control process in turn."""

import asyncio
from collections.abc import Sequence
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
    PlanBody,
    PlanErrorBody,
    PlanOrderReplyBody,
)
from orchidpath.wire.messages import PlanAction

CONNECT_TIMEOUT_SECONDS = 2.0
"""Bound on connecting to one control process."""

READ_TIMEOUT_SECONDS = 10.0
"""Bound on the answer of one control process; confirmations take up to a few seconds."""

_OK = 200
_ACCEPTED = 202
_UNAVAILABLE = 503

BodyT = TypeVar("BodyT", bound=msgspec.Struct)


class NoControlAnswersError(OrchidpathError):
    """No control process gave an answer; the message says what each one did."""


class OrderRefusedError(OrchidpathError):
    """An order was refused and changed nothing."""

    def __init__(self, body: OperatorErrorBody) -> None:
        super().__init__(body.error.message)
        self.body = body


class PlanRefusedError(OrchidpathError):
    """An order about a plan was refused and changed nothing."""

    def __init__(self, body: PlanErrorBody) -> None:
        super().__init__(body.error.message)
        self.body = body


class UpdateRejectedError(OrchidpathError):
    """An order reached no control process that could take it; nothing changed."""


class OrderOutcomeUnknownError(OrchidpathError):
    """An answer was lost: the order may have been taken. Send it again with the same id."""


class _Answer(msgspec.Struct, frozen=True):
    """A whole HTTP answer."""

    status: int
    body: bytes


class OperatorClient:
    """Talks to any of several control processes; use it as an async context manager.

    Parameters
    ----------
    addresses
        Base addresses, with or without ``http://``; tried in this order.
    read_timeout_seconds
        Bound on the answer of one control process.
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
        """Return the newest configuration and its version."""
        return await self._get("/v1/configuration", ConfigurationBody)

    async def history(self) -> HistoryBody:
        """Return the newest configurations taken."""
        return await self._get("/v1/configuration/history", HistoryBody)

    async def members(self) -> MembersBody:
        """Return the control replicas."""
        return await self._get("/v1/members", MembersBody)

    async def routers(self) -> RoutersBody:
        """Return the registered routers."""
        return await self._get("/v1/routers", RoutersBody)

    async def workers(self) -> WorkersBody:
        """Return the workers and their circuits."""
        return await self._get("/v1/workers", WorkersBody)

    async def statuses(self) -> dict[str, StatusBody | None]:
        """Return what each control process says of itself; None for one that does not answer."""
        found = await asyncio.gather(*map(self._status_of, self._addresses))
        return dict(zip(self._addresses, found, strict=True))

    async def submit(
        self, order_id: str, base_version: int, configuration: object
    ) -> SubmitReplyBody:
        """Submit a configuration; the order id makes it safe to try one process after another.

        Parameters
        ----------
        order_id
            Identifier of this order; the same for every repetition.
        base_version
            Version that the configuration was built on.
        configuration
            A whole configuration, typed or as plain data.

        Raises
        ------
        OrderRefusedError
            The order is not valid or not built on the newest version; nothing changed.
        UpdateRejectedError
            No process could take it; nothing changed.
        OrderOutcomeUnknownError
            At least one process may have taken it.
        """
        order = {
            "order_id": order_id,
            "base_version": base_version,
            "configuration": configuration,
        }
        content = msgspec.json.encode(order)
        may_be_taken = False
        failures: list[str] = []
        for address in self._addresses:
            try:
                answer = await self._exchange(address, "PUT", "/v1/configuration", content)
                if answer.status in (_OK, _ACCEPTED):
                    return _decode(answer.body, SubmitReplyBody)
                refusal = _decode(answer.body, OperatorErrorBody)
            except _AnswerError as error:
                may_be_taken = may_be_taken or error.sent
                failures.append(f"{address}: {error}")
                continue
            if answer.status < 500:
                raise OrderRefusedError(refusal)
            may_be_taken = may_be_taken or refusal.error.taken is not Accepted.NO
            failures.append(f"{address}: {answer.status} {refusal.error.message}")
        if may_be_taken:
            raise OrderOutcomeUnknownError("; ".join(failures))
        raise UpdateRejectedError("; ".join(failures))

    async def plan(self) -> PlanBody:
        """Return what would move now, and the newest plan that was started."""
        return await self._get("/v1/plan", PlanBody)

    async def request_plan_action(
        self, action: PlanAction, plan_id: str, order_id: str
    ) -> PlanOrderReplyBody:
        """Confirm, halt, resume or cancel a plan; the order id makes it safe to repeat.

        Raises
        ------
        PlanRefusedError
            The order was refused; nothing changed.
        UpdateRejectedError
            No process could take it; nothing changed.
        OrderOutcomeUnknownError
            At least one process may have taken it.
        """
        content = msgspec.json.encode(PlanActionBody(plan_id=plan_id, order_id=order_id))
        may_be_taken = False
        failures: list[str] = []
        for address in self._addresses:
            try:
                answer = await self._exchange(address, "POST", f"/v1/plan/{action}", content)
                if answer.status == _OK:
                    return _decode(answer.body, PlanOrderReplyBody)
                refusal = _decode(answer.body, PlanErrorBody)
            except _AnswerError as error:
                may_be_taken = may_be_taken or error.sent
                failures.append(f"{address}: {error}")
                continue
            if answer.status < 500:
                raise PlanRefusedError(refusal)
            may_be_taken = may_be_taken or refusal.error.taken is not Accepted.NO
            failures.append(f"{address}: {answer.status} {refusal.error.message}")
        if may_be_taken:
            raise OrderOutcomeUnknownError("; ".join(failures))
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
        raise NoControlAnswersError("; ".join(failures) or "no control address given")

    async def _get_from(self, address: str, path: str, expected: type[BodyT]) -> BodyT:
        answer = await self._exchange(address, "GET", path, b"")
        if answer.status != _OK:
            raise _AnswerError(f"answered {answer.status}", sent=True)
        return _decode(answer.body, expected)

    async def _exchange(self, address: str, method: str, path: str, content: bytes) -> _Answer:
        assert self._session is not None, "used outside its context"
        try:
            async with self._session.request(method, f"{address}{path}", data=content) as response:
                return _Answer(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _AnswerError(f"not reached: {error}", sent=False) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _AnswerError(f"no answer: {error or 'timed out'}", sent=True) from error
        except ValueError as error:
            raise _AnswerError(f"not an address: {error}", sent=False) from error


class _AnswerError(OrchidpathError):
    """One control process gave no usable answer; ``sent`` tells whether it may have the request."""

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
        raise _AnswerError(f"not the expected answer: {error}", sent=True) from error
