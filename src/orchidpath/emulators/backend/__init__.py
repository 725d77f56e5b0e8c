"""Components shared by the emulated model worker and the emulated plain service.

Start reading with :mod:`.backend_core` (decisions) and :mod:`.backend_shell` (asyncio).
Imported by the other emulators and the simulation.
"""
