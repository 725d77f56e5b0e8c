"""Command line: one module a command group."""
