"""Command-line interface, with one module for each command or command group."""
