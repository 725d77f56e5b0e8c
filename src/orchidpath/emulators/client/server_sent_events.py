"""An incremental parser of server-sent events."""

import msgspec


class ServerSentEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event; ``name`` is empty if the event has no ``event`` field."""

    name: str
    data: str


class EventParser:
    """Parses the chunks of a body into events; an event is complete after its blank line."""

    def __init__(self) -> None:
        self._incomplete_line = b""
        self._name = ""
        self._data: list[str] = []

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Parse the next chunk of the body.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the body, split at any position.

        Returns
        -------
        list[ServerSentEvent]
            The events that this chunk completes.
        """
        lines = (self._incomplete_line + chunk).split(b"\n")
        self._incomplete_line = lines.pop()
        events: list[ServerSentEvent] = []
        for line in lines:
            event = self._process_line(line.rstrip(b"\r").decode("utf-8", "replace"))
            if event is not None:
                events.append(event)
        return events

    def _process_line(self, line: str) -> ServerSentEvent | None:
        if not line:
            return self._finish_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            self._name = value
        elif name == "data":
            self._data.append(value)
        return None

    def _finish_event(self) -> ServerSentEvent | None:
        event = ServerSentEvent(name=self._name, data="\n".join(self._data))
        is_empty = not self._name and not self._data
        self._name = ""
        self._data = []
        return None if is_empty else event
