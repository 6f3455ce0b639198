"""Reads numbers that other programs write: quantities in JSON, and ports of addresses."""

from __future__ import annotations

from math import inf

MAX_PORT = 65_535


def read_quantity(value: object) -> float:
    """Return a finite number of at least 0, which may be written as text.

    Raises:
        TypeError: The value is not a number.
        OverflowError: It is too large.
        ValueError: It is text that is not a number, or negative or not finite.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        raise TypeError("a quantity must be a number")
    quantity = float(value)
    if not 0 <= quantity < inf:
        raise ValueError(f"a quantity must be finite and at least 0, not {quantity}")
    return quantity


def read_port(text: str) -> int | None:
    """Return a port of an address, which may be 0; None if the text is none."""
    if text.isascii() and text.isdigit() and int(text) <= MAX_PORT:
        return int(text)
    return None
