"""The emulated model worker: engine, prefix cache, KV transfer and decode stream.

Start reading with :mod:`.model_worker`. Imported by the command line, tests and the simulation.
"""
