"""Base class of the project's own errors; each cause has a class of its own."""


class OrchidpathError(Exception):
    """Base of every error that orchidpath raises on purpose."""
