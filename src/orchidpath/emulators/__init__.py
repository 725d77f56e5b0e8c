"""Emulators of everything around the fleet: model workers, plain services and clients.

They speak the real protocols over loopback, so that a test or a local fleet runs the deployed
router and control code unchanged. Decisions live in modules without input or output; the asyncio
shells around them are :mod:`.worker.model_worker`, :mod:`.plain_service` and
:mod:`.client.caller`. Imported by the command line, the local fleet, the simulation and tests.
"""
