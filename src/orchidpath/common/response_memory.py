"""Bound on the response bodies that a process holds because their callers have not read them.

A body is held until its caller has taken the last of it. Responses that send the same bytes object
hold it together, and it counts once. When all bodies together exceed the limit, responses are given
up, the oldest first: an ordinary caller reads a response within moments, so the oldest ones belong
to callers that have stopped. The module does no input or output.
"""

from collections.abc import Callable

MEBIBYTE = 1024 * 1024

DEFAULT_RESPONSE_MEMORY_BYTES = 32 * MEBIBYTE
"""Default limit on the bodies of all responses that are being sent."""


class HeldResponse:
    """A response that is being sent.

    Parameters
    ----------
    body
        Its body.
    give_up
        Called when the response has to go; it closes the connection.
    """

    def __init__(self, body: bytes, give_up: Callable[[], None]) -> None:
        self.body = body
        self.give_up = give_up


class ResponseMemory:
    """Memory that a process has for the bodies of responses.

    Parameters
    ----------
    limit_bytes
        Bound on all bodies. A single larger one is held nevertheless, but none beside it.
    """

    def __init__(self, limit_bytes: int = DEFAULT_RESPONSE_MEMORY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._responses: dict[HeldResponse, None] = {}
        self._holders: dict[int, int] = {}
        self.held_bytes = 0
        self.given_up_count = 0

    def hold(self, body: bytes, give_up: Callable[[], None]) -> HeldResponse:
        """Record that a response is being sent; this may give up older ones.

        Parameters
        ----------
        body
            Body of the response.
        give_up
            Called when the response has to go. It has been released by then.
        """
        response = HeldResponse(body, give_up)
        self._responses[response] = None
        holders = self._holders.get(id(body), 0)
        self._holders[id(body)] = holders + 1
        if not holders:
            self.held_bytes += len(body)
        self._give_up_until_within_limit(response)
        return response

    def release(self, response: HeldResponse) -> None:
        """Record that a response was sent or given up; a second call changes nothing."""
        if response not in self._responses:
            return
        del self._responses[response]
        body = response.body
        self._holders[id(body)] -= 1
        if not self._holders[id(body)]:
            del self._holders[id(body)]
            self.held_bytes -= len(body)

    def _give_up_until_within_limit(self, newest: HeldResponse) -> None:
        while self.held_bytes > self._limit_bytes:
            oldest = next(iter(self._responses))
            if oldest is newest:
                return
            self.given_up_count += 1
            self.release(oldest)
            oldest.give_up()
