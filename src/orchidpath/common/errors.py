"""Base class of the errors that this project defines; each cause has its own subclass."""


class OrchidpathError(Exception):
    """Base class of every error that orchidpath raises deliberately."""
