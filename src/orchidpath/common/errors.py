"""Base class of the project's own errors; each error has its own class."""


class OrchidpathError(Exception):
    """Base of every error that orchidpath raises on purpose."""
