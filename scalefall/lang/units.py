"""Literals with units, parsed and formatted. A unit is part of the type, so a bare number is never a duration.

Durations are whole microseconds, sizes whole bytes, shares and plain numbers Decimals, rates a count per duration.
Every parser raises InvalidValue, which holds what is wrong and what to write instead.
"""

from __future__ import annotations

import re
from decimal import Decimal
from typing import NamedTuple

from scalefall.lang.text import InvalidValue

US = 1  # durations are in microseconds
MS = 1000
SECOND = 1_000_000
MINUTE = 60_000_000
HOUR = 3_600_000_000
DURATION_UNITS_US = {"us": US, "ms": MS, "s": SECOND, "min": MINUTE, "h": HOUR}
SIZE_UNITS_BYTES = {"B": 1, "kB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
MAX_DURATION_US = 366 * 24 * HOUR
MAX_SIZE_BYTES = 2**50
MAX_COUNT = 10**9
UNIT_ALIASES = {
    "sec": "s",
    "secs": "s",
    "second": "s",
    "seconds": "s",
    "msec": "ms",
    "msecs": "ms",
    "millis": "ms",
    "milliseconds": "ms",
    "minute": "min",
    "minutes": "min",
    "mins": "min",
    "hour": "h",
    "hours": "h",
    "hr": "h",
    "usec": "us",
    "\u00b5s": "us",
    "\u03bcs": "us",
    "micros": "us",
}
QUANTITY = re.compile(r"([+-]?)([0-9]{1,15}(?:\.[0-9]{1,9})?)([^0-9.].*)?\Z", re.DOTALL)
PLAIN_NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,9})?\Z")
ADDRESS = re.compile(r"[0-9.]+(-[0-9.]+)?:[0-9]+\Z")
NETWORK = re.compile(r"[0-9a-fA-F:.]+/[0-9]+\Z")


class Rate(NamedTuple):
    """`count` calls in each span of `per_us` microseconds."""

    count: int
    per_us: int

    @property
    def per_second(self) -> Decimal:
        return Decimal(self.count) * SECOND / self.per_us

    def __str__(self) -> str:
        return f"{self.count} per {format_duration(self.per_us)}"


def kind_of(text: str) -> str:
    """Return the kind of value that a text is, for "X is a rate where a duration belongs"; empty if it is none."""
    parts = QUANTITY.match(text)
    if " per " in f" {text} ":
        return "a rate"
    if parts is None:
        return "an address" if ADDRESS.match(text) else "a network" if NETWORK.match(text) else ""
    unit = parts[3] or ""
    if not unit:
        return "a bare number"
    if unit == "%":
        return "a share"
    if unit in DURATION_UNITS_US or unit.lower() in UNIT_ALIASES or unit == "m":
        return "a duration"
    if unit in SIZE_UNITS_BYTES or unit.upper() in ("K", "KB", "M", "MB", "G", "GB", "KIB", "MIB", "GIB", "B"):
        return "a size"
    if unit.startswith("/") and unit[1:] in ("s", "sec", "second", "min", "h"):
        return "a rate"
    return "an address" if ADDRESS.match(text) else "a network" if NETWORK.match(text) else ""


def _other_kind(text: str, wanted: str, example: str) -> InvalidValue:
    kind = kind_of(text)
    if kind and kind != wanted:
        return InvalidValue(f"{text} is {kind} where {wanted} belongs", example, code="unit-kind")
    return InvalidValue(f"{text!r} is not {wanted}", example)


def _quantity(
    text: str, what: str, example: str, units: dict[str, int], likely_units: tuple[str, ...]
) -> tuple[str, str]:
    """Return the number and the unit of a text; the unit may still be unknown.

    `likely_units` are those to suggest where the text has none.
    """
    parts = QUANTITY.match(text)
    if parts is None:
        raise _other_kind(text, what, example)
    sign, number, unit = parts[1], parts[2], parts[3] or ""
    if sign:
        raise InvalidValue(f"{what} has no sign: {text}", f"write {number}{unit}")
    if not unit:
        *first, last = (number + each for each in likely_units)
        raise InvalidValue(
            f"{text} has no unit where {what} belongs ({', '.join(units)})",
            f"write {', '.join(first)} or {last}, whichever you mean",
            code="no-unit",
        )
    return number, unit


def parse_duration(text: str) -> int:
    """Return a duration in whole microseconds."""
    example = "write a number with its unit, like 3s, 1500ms or 2min"
    number, unit = _quantity(text, "a duration", example, DURATION_UNITS_US, ("ms", "s", "min"))
    if unit in ("m", "M"):
        raise InvalidValue(f"{text} could be minutes or milliseconds", f"write {number}min or {number}ms", code="unit")
    canonical = unit if unit in DURATION_UNITS_US else UNIT_ALIASES.get(unit.lower(), unit.lower())
    if canonical not in DURATION_UNITS_US:
        raise _other_kind(text, "a duration", example)
    if canonical != unit:
        raise InvalidValue(
            f"{unit} is not how a unit is written (us, ms, s, min, h; lower case)",
            f"write {number}{canonical}",
            code="unit",
        )
    value = Decimal(number) * DURATION_UNITS_US[unit]
    if value != int(value):
        raise InvalidValue(f"{text} is finer than a microsecond")
    if value > MAX_DURATION_US:
        raise InvalidValue(f"{text} is longer than a year")
    return int(value)


def format_duration(us: int) -> str:
    """Return the shortest exact form: 1500ms, 3s, 2min."""
    for unit in ("h", "min", "s", "ms"):
        if us and us % DURATION_UNITS_US[unit] == 0:
            return f"{us // DURATION_UNITS_US[unit]}{unit}"
    return f"{us}us" if us else "0s"


def format_duration_spaced(us: int) -> str:
    """Return a duration for sentences: 3 s, 1500 ms."""
    text = format_duration(us)
    return re.sub(r"([0-9])([a-z])", r"\1 \2", text, count=1)


def parse_rate(words: list[str]) -> Rate:
    """Return a rate from its three words, such as `4 per 1s`."""
    example = "write a count and a span, like 4 per 1s"
    joined = " ".join(words)
    if len(words) == 1:
        slashed = re.match(r"([0-9]+)/(?:([0-9]*)(s|sec|min|h))\Z", words[0])
        if slashed:
            unit = UNIT_ALIASES.get(slashed[3], slashed[3])
            raise InvalidValue(
                f"{words[0]} is not how a rate is written",
                f"write {slashed[1]} per {slashed[2] or 1}{unit}",
                code="unit",
            )
        if kind_of(words[0]) == "a bare number":
            raise InvalidValue(
                f"{words[0]} has no span where a rate belongs",
                f"write {words[0]} per 1s or {words[0]} per 1min, whichever you mean",
                code="no-unit",
            )
        raise _other_kind(words[0], "a rate", example)
    if len(words) != 3 or words[1] != "per":
        raise InvalidValue(f"{joined!r} is not a rate", example)
    number = parse_count(words[0], 1)
    try:
        span = parse_duration(words[2])
    except InvalidValue as error:
        raise InvalidValue(error.text, error.instead, 2, error.code) from None
    if not span:
        raise InvalidValue("a rate needs a span longer than nothing", example, 2)
    return Rate(number, span)


def parse_size(text: str) -> int:
    """Return a size in bytes."""
    example = "write a number with its unit, like 64KiB or 192MB"
    number, unit = _quantity(text, "a size", example, SIZE_UNITS_BYTES, ("MB", "MiB"))
    if unit not in SIZE_UNITS_BYTES:
        canonical = next(
            (known for known in SIZE_UNITS_BYTES if known.lower() in (unit.lower(), unit.lower() + "b")), ""
        )
        if canonical:
            raise InvalidValue(
                f"{unit} is not how a unit is written ({', '.join(SIZE_UNITS_BYTES)})",
                f"write {number}{canonical}",
                code="unit",
            )
        raise _other_kind(text, "a size", example)
    value = Decimal(number) * SIZE_UNITS_BYTES[unit]
    if value != int(value) or value > MAX_SIZE_BYTES:
        raise InvalidValue(f"{text} is no whole number of bytes, or too many")
    return int(value)


def format_size(number: int) -> str:
    """Return the shortest exact form: 64KiB, 192MB."""
    for unit in ("GiB", "GB", "MiB", "MB", "KiB", "kB"):
        if number and number % SIZE_UNITS_BYTES[unit] == 0:
            return f"{number // SIZE_UNITS_BYTES[unit]}{unit}"
    return f"{number}B"


def parse_share(text: str) -> Decimal:
    """Return a share as a fraction: 40% is 0.4."""
    parts = QUANTITY.match(text)
    if parts is None or parts[3] != "%" or parts[1]:
        if PLAIN_NUMBER.match(text):
            raise InvalidValue(
                f"{text} has no unit where a share belongs",
                f"write {format_share(Decimal(text))}" if Decimal(text) <= 1 else f"write {text}%",
                code="no-unit",
            )
        raise _other_kind(text, "a share", "write a share in per cent, like 40%")
    value = Decimal(parts[2]) / 100
    if value > 1:
        raise InvalidValue(f"{text} is more than everything", "write at most 100%")
    return value


def format_share(value: Decimal) -> str:
    return f"{format_decimal(value * 100)}%"


def parse_count(text: str, least: int = 0, most: int = MAX_COUNT) -> int:
    if not re.match(r"[0-9]{1,15}\Z", text):
        if re.match(r"-?[0-9.]+\Z", text):
            raise InvalidValue(f"{text} is not a whole number of at least {least}")
        raise _other_kind(text, "a count", "write a whole number")
    if not least <= int(text) <= most:
        raise InvalidValue(
            f"{text} is out of range", f"write a whole number from {least} to {most:,}".replace(",", " "), code="range"
        )
    return int(text)


def parse_number(text: str) -> Decimal:
    if not PLAIN_NUMBER.match(text):
        raise _other_kind(text, "a plain number", "write a number like 3 or 0.5")
    return Decimal(text)


def format_decimal(value: Decimal) -> str:
    """Return a Decimal without exponent or trailing zeros."""
    text = f"{value:f}"
    return text.rstrip("0").rstrip(".") if "." in text else text
