"""Router fleet for model workers that split prefill and decode."""

__version__ = "0.1.0"
