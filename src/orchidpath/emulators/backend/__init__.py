"""What the emulated model worker and the emulated plain service share.

Begin with :mod:`.backend_core` (decisions) and :mod:`.backend_shell` (asyncio).
Imported by the other emulators and the simulation.
"""
