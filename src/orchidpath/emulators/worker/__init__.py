"""The emulated model worker: engine, prefix cache, KV transfer and decode stream.

Begin with :mod:`.model_worker`. Imported by the command line, tests and the simulation.
"""
