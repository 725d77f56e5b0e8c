"""Emulators of the fleet's environment: model workers, plain services and clients.

They use the real protocols over loopback, so that tests and a local fleet run the deployed router
and control code unchanged. Decisions are made in modules without I/O; the asyncio modules around
them are :mod:`.worker.model_worker`, :mod:`.plain_service` and
:mod:`.client.caller`. Imported by the command line, the local fleet, the simulation and tests.
"""
