"""The schema of the language: the settings of each block with their kinds and defaults. No I/O.

Analysis, `explain`, `diff` and the import from JSON all use the table BLOCKS, so a new setting takes one row here and
one line where it takes effect.
"""

from __future__ import annotations

import functools
import re
from collections.abc import Callable
from dataclasses import dataclass
from decimal import Decimal
from typing import Any, NamedTuple

import netaddr

from scalefall.lang import units
from scalefall.lang.text import InvalidValue, join_words, suggestion

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")
MAX_RANGE_ADDRESSES = 4096  # bounds the endpoints of one statement
MAX_SCORE = 1_000_000


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class AddressRange(NamedTuple):
    """IPv4 addresses from `first` to `last`, as numbers, at one port; both are equal for a single address."""

    first: int
    last: int
    port: int

    def __str__(self) -> str:
        hosts = [str(netaddr.IPAddress(number, 4)) for number in dict.fromkeys((self.first, self.last))]
        return f"{'-'.join(hosts)}:{self.port}"


class Repeat(NamedTuple):
    """Whether a message of a class may be repeated.

    keyed: the destination drops a repetition by its key for `ttl_us`, within one zone or everywhere.
    """

    effect: str
    ttl_us: int = 0
    in_zone: bool = False

    def __str__(self) -> str:
        if self.effect != "keyed":
            return self.effect
        return f"keyed for {units.format_duration(self.ttl_us)}" + (" in-zone" if self.in_zone else "")


@dataclass(frozen=True)
class Kind:
    """How the words of a setting are read (raising InvalidValue) and shown; a list has commas between its words."""

    name: str
    read: Callable[[list[str]], Any]
    show: Callable[[Any], str] = str
    is_list: bool = False


@dataclass(frozen=True)
class Setting:
    """One setting of a block."""

    word: str
    kind: Kind
    doc: str
    default: str | None = ""  # in the language; "": required; None: optional without a default
    lead: str = ""  # a word between the setting's name and its value
    may_be_short: bool = False  # a duration under 50 ms is not suspicious
    absent: str = "none"  # the word for "no value" where the default is None; "": there is no such word

    @functools.cached_property
    def built_in(self) -> Any:
        if not self.default:
            return None
        words = [word.strip() for word in self.default.split(",")] if self.kind.is_list else self.default.split()
        return self.kind.read(words)

    def show(self, value: Any) -> str:
        """Return the value as it is written after the setting's word."""
        if value is None:
            return self.absent or "not said"
        return f"{self.lead} {self.kind.show(value)}".strip()

    def line(self, value: Any) -> str:
        """Return the whole setting as it is written."""
        return f"{self.word} {self.show(value)}"


def _one_word(read: Callable[[str], Any], dimension: str = "") -> Callable[[list[str]], Any]:
    """Return a reader of exactly one word; `dimension` names the kind of a value with a unit."""

    def reader(words: list[str]) -> Any:
        if len(words) == 1:
            return read(words[0])
        if (
            dimension
            and len(words) == 2
            and units.PLAIN_NUMBER.match(words[0])
            and words[1].isalpha()
            and words[1] not in ("per", "of")
        ):
            unit = units.UNIT_ALIASES.get(words[1].lower(), words[1])
            raise InvalidValue(
                f"a blank between {words[0]} and its unit {words[1]}", f"write {words[0]}{unit}", code="unit"
            )
        if dimension and len(words) == 3 and words[1] == "per" and dimension != "a rate":
            raise InvalidValue(
                f"{' '.join(words)} is a rate where {dimension} belongs", f"write {dimension}", code="unit-kind"
            )
        if not words:
            raise InvalidValue("a value is missing", code="missing")
        raise InvalidValue(f"one value belongs here, not {len(words)}", "a statement ends with its line or with ;", 1)

    return reader


def parse_name(text: str) -> str:
    if not NAME.match(text):
        raise InvalidValue(f"{text!r} is not a name", "letters, digits, dots, dashes and underscores, 100 at most")
    return text


def parse_text(value: str) -> str:
    if not value or len(value) > 200 or not value.isprintable():
        raise InvalidValue(f"{value!r} is not a name of 1 to 200 printable characters")
    return value


def _host(text: str) -> int:
    try:
        return int(netaddr.IPAddress(text, 4, netaddr.INET_PTON))
    except (netaddr.AddrFormatError, ValueError):
        pass
    if ":" in text or text.startswith("["):
        raise InvalidValue(f"{text} is not an IPv4 address", "the sender dials IPv4 only", code="address")
    if re.search("[A-Za-z]", text):
        raise InvalidValue(
            f"{text} is a name, and names are not looked up", "write its address, like 10.3.0.18:8081", code="address"
        )
    raise InvalidValue(f"{text} is not an IPv4 address", "write four numbers up to 255, like 10.3.0.18", code="address")


def _port(text: str, least: int) -> int:
    if not re.match(r"[0-9]{1,5}\Z", text) or not least <= int(text) < 65536:
        raise InvalidValue(
            f"{text or 'nothing'} is not a port", f"write a number from {least} to 65535", code="address"
        )
    return int(text)


def parse_address_range(value: str) -> AddressRange:
    """Return an address, or a range of addresses, with its port."""
    hosts, colon, port = value.rpartition(":")
    if not colon:
        kind = units.kind_of(value)
        if "-" not in value and kind in ("a duration", "a rate", "a share", "a size", "a bare number", "a network"):
            raise InvalidValue(
                f"{value} is {kind} where an address belongs",
                "write an address and a port, like 10.3.0.18:8081",
                code="unit-kind",
            )
        _host(value.partition("-")[0])
        raise InvalidValue(
            f"{value} has no port", f"write {value}:8081, with the port that it listens on", code="address"
        )
    first, dash, last = hosts.partition("-")
    start = _host(first)
    if not dash:
        return AddressRange(start, start, _port(port, 1))
    if last.isdigit():
        raise InvalidValue(
            f"{value} is not how a range is written",
            f"write {first}-{first.rpartition('.')[0]}.{last}:{port}",
            code="address",
        )
    end = _host(last)
    try:
        netaddr.IPRange(start, end)
    except (netaddr.AddrFormatError, ValueError):
        raise InvalidValue(f"{value} ends before it begins", f"write {last}-{first}:{port}", code="address") from None
    if end - start >= MAX_RANGE_ADDRESSES:
        raise InvalidValue(
            f"{value} holds {end - start + 1:,} addresses; {MAX_RANGE_ADDRESSES:,} is the most", code="address"
        )
    return AddressRange(start, end, _port(port, 1))


def parse_address(value: str) -> Address:
    """Return an address to listen on or to dial; port 0 means any free port."""
    host, colon, port = value.rpartition(":")
    if not colon:
        raise InvalidValue(f"{value} is not an address with a port", "write it like 127.0.0.1:8080", code="address")
    _host(host)
    return Address(host, _port(port, 0))


def parse_network(value: str) -> netaddr.IPNetwork:
    try:
        found = netaddr.IPNetwork(value, version=4, flags=0)
    except (netaddr.AddrFormatError, ValueError):
        found = None
    if found is None or "/" not in value:
        raise InvalidValue(f"{value} is not a network", "write it like 10.3.0.0/16", code="address")
    if found.ip.value != found.first:
        raise InvalidValue(f"{value} has bits set beyond its length", f"write {found.cidr}", code="address")
    return found.cidr


def _repeat(words: list[str]) -> Repeat:
    if words in (["never"], ["freely"]):
        return Repeat(words[0])
    if words[:1] == ["keyed"]:
        if len(words) < 3 or words[1] != "for" or words[3:] not in ([], ["in-zone"]):
            raise InvalidValue(f"{' '.join(words)!r} does not say for how long", "write keyed for 6s")
        try:
            return Repeat("keyed", units.parse_duration(words[2]), len(words) > 3)
        except InvalidValue as error:
            raise InvalidValue(error.text, error.instead, 2, error.code) from None
    raise InvalidValue(
        f"{' '.join(words) or 'nothing'} is not a way to repeat", "write never, freely or keyed for 6s", code="choice"
    )


def _number_of(words: list[str]) -> tuple[int, int]:
    if len(words) != 3 or words[1] != "of":
        raise InvalidValue(f"{' '.join(words)!r} is not a place in a row", "write it like 0 of 3")
    siblings = units.parse_count(words[2], 1, 100_000)
    return units.parse_count(words[0], 0, siblings - 1), siblings


def _choice(*words: str) -> Kind:
    def read(word: str) -> str:
        if word not in words:
            raise InvalidValue(
                f"{word} is not {join_words(words).replace(' and ', ' or ')}", suggestion(word, words), code="choice"
            )
        return word

    return Kind(" or ".join(words), _one_word(read))


def _flag(word: str) -> bool:
    if word not in ("yes", "no"):
        raise InvalidValue(f"{word} is not yes or no", "write yes or no", code="choice")
    return word == "yes"


def _count(least: int, most: int = units.MAX_COUNT) -> Kind:
    return Kind("a count", _one_word(lambda word: units.parse_count(word, least, most), "a count"))


def _size(least: int) -> Kind:
    def read(word: str) -> int:
        value = units.parse_size(word)
        if value < least:
            raise InvalidValue(f"{word} is too little", f"write at least {units.format_size(least)}", code="range")
        return value

    return Kind("a size", _one_word(read, "a size"), units.format_size)


def _score(word: str) -> Decimal:
    value = units.parse_number(word)
    if value > MAX_SCORE:
        raise InvalidValue(f"{word} is out of range", f"write at most {MAX_SCORE}", code="range")
    return value


def _seed(word: str) -> str:
    if not re.match(r"[0-9a-fA-F]{1,64}\Z", word):
        raise InvalidValue(f"{word} is not a hexadecimal number", "write digits from 0 to f, 64 at most")
    return word


def _items(read: Callable[[str], Any]) -> Callable[[list[str]], tuple[Any, ...]]:
    def reader(words: list[str]) -> tuple[Any, ...]:
        values = []
        for index, word in enumerate(words):
            try:
                values.append(read(word))
            except InvalidValue as error:
                raise InvalidValue(error.text, error.instead, index, error.code) from None
            if values[-1] in values[:-1]:
                raise InvalidValue(f"{word} stands here twice", "", index, "twice")
        return tuple(values)

    return reader


def _list(read: Callable[[str], Any], what: str) -> Kind:
    return Kind(what, _items(read), lambda values: ", ".join(map(str, values)) or "none", True)


DURATION = Kind("a duration", _one_word(units.parse_duration, "a duration"), units.format_duration)
RATE = Kind("a rate", units.parse_rate)
SHARE = Kind("a share", _one_word(units.parse_share, "a share"), units.format_share)
SCORE = Kind("a number", _one_word(_score, "a number"), units.format_decimal)
FLAG = Kind("yes or no", _one_word(_flag), lambda value: "yes" if value else "no")
IDENTIFIER = Kind("a name", _one_word(parse_name))
TEXT = Kind("a name", _one_word(parse_text))
SOCKET_ADDRESS = Kind("an address", _one_word(parse_address))
REPEAT = Kind("a way to repeat", _repeat)

POLICY = (
    Setting("attempts", _count(1, 1000), "the most attempts for a message", "6"),
    Setting("wait", DURATION, "the longest Retry-After that a refused client receives", "3s", "at-most"),
    Setting("dial", DURATION, "how long a connection may take to be established", "1500ms", "within"),
)
BLOCKS: dict[str, dict[str, Setting]] = {
    block: {row.word: row for row in rows}
    for block, rows in {
        "sender": (
            Setting("name", TEXT, "its name in the log", "scalefall"),
            Setting("listen", SOCKET_ADDRESS, "where clients connect", "127.0.0.1:8080"),
            Setting("discovery", SOCKET_ADDRESS, "the platform's discovery; `run` does not use it", None),
            Setting(
                "reports",
                SOCKET_ADDRESS,
                "where delivery reports of messages given up are posted; else they are logged",
                None,
            ),
            Setting("seed", Kind("a hexadecimal number", _one_word(_seed)), "seed of the random numbers", "0"),
            Setting(
                "number",
                Kind("a place in a row", _number_of, lambda value: f"{value[0]} of {value[1]}"),
                "the index of this sender among how many; they share the limits",
                "0 of 1",
            ),
            Setting("cores", SCORE, "processor cores that it may use", "1"),
            Setting("memory", _size(16 * 10**6), "memory that it may use", "192MB"),
            Setting("sockets", _count(64, 1_000_000), "file descriptors that it may open", "1024"),
            Setting("disk", _size(100_000), "the largest size of its folder", "3MB"),
            Setting("slots", _count(1, 100_000), "calls in flight at once", "12"),
            Setting("hold", _count(1, 1_000_000), "messages pending at once", "200"),
            Setting("idle-close", DURATION, "an idle connection is closed before this", "10s"),
            Setting(
                "tick",
                DURATION,
                "how long events are gathered before the engine decides on them",
                "5ms",
                may_be_short=True,
            ),
            Setting("late", _choice("linear", "line", "halving"), "how a message loses worth after its aim", "linear"),
            Setting("cancel", FLAG, "calls in flight may be cancelled", "yes"),
            Setting("probe", FLAG, "health checks may be sent to endpoints", "no"),
            Setting("tell-wait", FLAG, "refused clients may receive a Retry-After", "yes"),
            Setting("streams", _count(1, 1000), "concurrent calls on a connection", "1"),
            Setting("list", _choice("ask", "push"), "whether discovery's list is polled or pushed", "ask"),
            Setting("weights", _choice("none", "nominal", "rough", "live"), "what discovery's weights mean", "none"),
            Setting("load-report", _list(parse_text, "names"), "fields of the load reports in answers", "x0, x1"),
            Setting("over-share", SHARE, "the part of its worth that a message beyond its tenant's quota keeps", "10%"),
            Setting("turn-gap", DURATION, "the gap between two messages of one key", "0s", may_be_short=True),
        ),
        "rules": (
            Setting("drain-grace", DURATION, "no fresh work for a draining endpoint later than this", "1s"),
            Setting("cold", DURATION, "how long a destination stays cold after it comes back", "10s"),
            Setting("cold-from", SHARE, "the part of its capacity that a cold destination has at first", "20%"),
            Setting("fall", DURATION, "a cold destination fails after so long an overload", "2s"),
            Setting("fall-multiple", SCORE, "overload: this many times its capacity", "2"),
            Setting("ask-within", DURATION, "discovery is polled again within this", "10s"),
            Setting("answer-slack", DURATION, "by how much a final answer may be late", "20ms", may_be_short=True),
        ),
        "class": (
            Setting("aim", DURATION, "a delivery within it keeps its full worth"),
            Setting("deadline", DURATION, "when its final answer is due"),
            Setting("repeat", REPEAT, "whether a message that may have run may be sent again"),
            Setting("worth", SCORE, "relative to other classes", "1"),
            Setting("late-worth", SHARE, "the part of it that is left at the deadline", "0%"),
            Setting("in-order", FLAG, "messages of one key are delivered one after the other", "no"),
        ),
        "kind": (
            Setting("per-call", _count(1, 10_000), "messages that one call may carry", "1"),
            Setting(
                "limits", _choice("together", "apart"), "whether endpoints share the limit of their pool", "together"
            ),
        ),
        "zone": (Setting("fee", SCORE, "the cost of sending there, relative to other zones", "0"),),
        "tenant": (Setting("quota", RATE, "its share"),),
        "policy": POLICY,
        "pool": (
            Setting("kind", TEXT, "the kind of its endpoints", "partner"),
            Setting("limit", RATE, "the most that all senders together may send there", None),
            Setting("connections", _count(1, 100_000), "concurrent calls to each endpoint", None),
            Setting(
                "idle-close",
                DURATION,
                "an idle connection is closed before this; else the sender's value",
                None,
                absent="",
            ),
            Setting("dial-within", _list(parse_network, "networks"), "networks that contain its endpoints", None),
        ),
        "endpoint": (
            Setting("at", Kind("an address", _one_word(parse_address_range, "an address")), "its address"),
            Setting("zone", TEXT, "where it is", "here"),
            Setting(
                "state", _choice("ready", "draining"), "draining: finishes its calls and gets no new ones", "ready"
            ),
            Setting("weight", SCORE, "its weight, in the meaning of the sender's weights", None, absent=""),
        ),
        "route": (
            Setting("pool", IDENTIFIER, "where its messages go"),
            Setting("policy", IDENTIFIER, "the policy for them", "default"),
            Setting(
                "classes",
                _list(parse_text, "classes"),
                "the classes that it carries; else every class",
                None,
                absent="every",
            ),
            *POLICY,
        ),
    }.items()
}
BLOCKS["endpoints"] = BLOCKS["endpoint"]
SINGLE = ("sender", "rules")  # blocks without a name, at most one each
TOP = tuple(block for block in BLOCKS if block not in ("endpoint", "endpoints"))
