"""Identifier types used across the fleet; all are plain strings or integers on the wire."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of one process of the fleet (router or control), unique in a fleet."""

WorkerId = NewType("WorkerId", str)
"""Name of one back end, model worker or plain service worker, unique in a fleet."""

ServiceName = NewType("ServiceName", str)
"""Name of one service in the configuration."""

RequestId = NewType("RequestId", str)
"""Identifier of one caller's request; the caller may choose it."""

AttemptId = NewType("AttemptId", str)
"""Identifier of one attempt of one request, fresh for each; back ends echo it."""

OrderId = NewType("OrderId", str)
"""Identifier of one operator's order; a repeated order carries the same one."""
