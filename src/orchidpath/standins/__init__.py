"""Stand-ins for everything around the fleet: model workers, plain services and callers.

They speak the real protocols over loopback, so a test or a local fleet runs the shipped router
and control code unchanged. Decisions live in modules without input or output; ``worker``,
``service`` and ``caller`` are the asyncio shells around them.
"""
