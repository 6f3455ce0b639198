"""The words of the language: which settings each block has, of which kind, with which default. Data, and no I/O.

Everything that needs to know a setting (reading, explaining, comparing, writing one from JSON) reads it off BLOCKS, so
a new setting is one row here and one line where it takes effect.
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
MAX_RANGE_ADDRESSES = 4096  # addresses that one range may hold
MAX_SCORE = 1_000_000


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class AddressRange(NamedTuple):
    """Addresses from first to last, as numbers, at one port; a single one where both are the same."""

    first: int
    last: int
    port: int

    def __str__(self) -> str:
        hosts = [str(netaddr.IPAddress(number, 4)) for number in dict.fromkeys((self.first, self.last))]
        return f"{'-'.join(hosts)}:{self.port}"


class Repeat(NamedTuple):
    """What repeating a message of a class may do; keyed: dropped by its key for ttl_us, in one zone or everywhere."""

    effect: str
    ttl_us: int = 0
    in_zone: bool = False

    def __str__(self) -> str:
        if self.effect != "keyed":
            return self.effect
        return f"keyed for {units.format_duration(self.ttl_us)}" + (" in-zone" if self.in_zone else "")


@dataclass(frozen=True)
class Kind:
    """How a setting's words are read (they raise Wrong) and shown; a list is words between commas."""

    name: str
    read: Callable[[list[str]], Any]
    show: Callable[[Any], str] = str
    is_list: bool = False


@dataclass(frozen=True)
class Setting:
    word: str
    kind: Kind
    doc: str
    default: str | None = ""  # in the language; "": the block must have it; None: it has none and needs none
    lead: str = ""  # a word that stands between the setting's name and its value
    may_be_short: bool = False  # a duration that may well be under 50 ms
    absent: str = "none"  # how to write that there is none, where the default is None; "": not at all

    @functools.cached_property
    def built_in(self) -> Any:
        if not self.default:
            return None
        words = [word.strip() for word in self.default.split(",")] if self.kind.is_list else self.default.split()
        return self.kind.read(words)

    def show(self, value: Any) -> str:
        """The value as it is written behind the setting's word."""
        if value is None:
            return self.absent or "not said"
        return f"{self.lead} {self.kind.show(value)}".strip()

    def line(self, value: Any) -> str:
        return f"{self.word} {self.show(value)}"


def _one_word(read: Callable[[str], Any], dimension: str = "") -> Callable[[list[str]], Any]:
    """A reader of exactly one word."""

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
    """An address or a range of addresses with its port."""
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
    """An address to listen at or to dial; port 0 picks a free one."""
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
        except InvalidValue as wrong:
            raise InvalidValue(wrong.text, wrong.instead, 2, wrong.code) from None
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
        for at, word in enumerate(words):
            try:
                values.append(read(word))
            except InvalidValue as wrong:
                raise InvalidValue(wrong.text, wrong.instead, at, wrong.code) from None
            if values[-1] in values[:-1]:
                raise InvalidValue(f"{word} stands here twice", "", at, "twice")
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
    Setting("attempts", _count(1, 1000), "how often a message may be sent at most", "6"),
    Setting("wait", DURATION, "the longest time after which a refused client is told to come back", "3s", "at-most"),
    Setting("dial", DURATION, "how long a connection may take to come up", "1500ms", "within"),
)
BLOCKS: dict[str, dict[str, Setting]] = {
    block: {row.word: row for row in rows}
    for block, rows in {
        "sender": (
            Setting("name", TEXT, "what it calls itself in its log", "scalefall"),
            Setting("listen", SOCKET_ADDRESS, "where clients connect", "127.0.0.1:8080"),
            Setting("discovery", SOCKET_ADDRESS, "the platform's discovery; `run` has none", None),
            Setting(
                "reports",
                SOCKET_ADDRESS,
                "where the ends of messages that were given up are told; else in the log",
                None,
            ),
            Setting("seed", Kind("a hexadecimal number", _one_word(_seed)), "for random numbers", "0"),
            Setting(
                "number",
                Kind("a place in a row", _number_of, lambda v: f"{v[0]} of {v[1]}"),
                "which of how many senders this is; they share the limits",
                "0 of 1",
            ),
            Setting("cores", SCORE, "what it may use of the processor", "1"),
            Setting("memory", _size(16 * 10**6), "what it may use of the memory", "192MB"),
            Setting("sockets", _count(64, 1_000_000), "descriptors it may hold", "1024"),
            Setting("disk", _size(100_000), "how large its folder may grow", "3MB"),
            Setting("slots", _count(1, 100_000), "calls that may be out at once", "12"),
            Setting("hold", _count(1, 1_000_000), "messages that may be open at once", "200"),
            Setting("idle-close", DURATION, "an idle connection is closed before this", "10s"),
            Setting(
                "tick", DURATION, "events are gathered for so long before they are decided on", "5ms", may_be_short=True
            ),
            Setting("late", _choice("linear", "line", "halving"), "how a message loses worth after its aim", "linear"),
            Setting("cancel", FLAG, "calls may be given up", "yes"),
            Setting("probe", FLAG, "endpoints may be asked how they are", "no"),
            Setting("tell-wait", FLAG, "refused clients may be told when to come back", "yes"),
            Setting("streams", _count(1, 1000), "calls at once on a connection", "1"),
            Setting("list", _choice("ask", "push"), "how discovery's list comes", "ask"),
            Setting("weights", _choice("none", "nominal", "rough", "live"), "what discovery's weights mean", "none"),
            Setting(
                "load-report", _list(parse_text, "names"), "fields of the load reports that answers carry", "x0, x1"
            ),
            Setting("over-share", SHARE, "what a message beyond its tenant's share is worth", "10%"),
            Setting("turn-gap", DURATION, "between two messages of one key", "0s", may_be_short=True),
        ),
        "rules": (
            Setting("drain-grace", DURATION, "no fresh work for a draining endpoint later than this", "1s"),
            Setting("cold", DURATION, "how long a partner that comes back stays cold", "10s"),
            Setting("cold-from", SHARE, "what a cold partner takes at first", "20%"),
            Setting("fall", DURATION, "a cold partner that is flooded for so long falls over", "2s"),
            Setting("fall-multiple", SCORE, "flooded: so many times what it takes", "2"),
            Setting("ask-within", DURATION, "discovery is asked again within this", "10s"),
            Setting("answer-slack", DURATION, "by how much a final answer may be late", "20ms", may_be_short=True),
        ),
        "class": (
            Setting("aim", DURATION, "a delivery within it keeps its whole worth"),
            Setting("deadline", DURATION, "when its final answer is due"),
            Setting("repeat", REPEAT, "whether a message that may have run may be sent again"),
            Setting("worth", SCORE, "against other classes", "1"),
            Setting("late-worth", SHARE, "what of it is left at the deadline", "0%"),
            Setting("in-order", FLAG, "messages of one key go one after the other", "no"),
        ),
        "kind": (
            Setting("per-call", _count(1, 10_000), "messages that one call may carry", "1"),
            Setting("limits", _choice("together", "apart"), "whether endpoints share their pool's limit", "together"),
        ),
        "zone": (Setting("fee", SCORE, "what sending there costs, against other zones", "0"),),
        "tenant": (Setting("quota", RATE, "its share"),),
        "policy": POLICY,
        "pool": (
            Setting("kind", TEXT, "the kind of its endpoints", "partner"),
            Setting("limit", RATE, "what all senders together may send there", None),
            Setting("connections", _count(1, 100_000), "calls at once to each endpoint", None),
            Setting(
                "idle-close",
                DURATION,
                "an idle connection is closed before this; else as the sender says",
                None,
                absent="",
            ),
            Setting("dial-within", _list(parse_network, "networks"), "networks that its endpoints must lie in", None),
        ),
        "endpoint": (
            Setting("at", Kind("an address", _one_word(parse_address_range, "an address")), "its address"),
            Setting("zone", TEXT, "where it stands", "here"),
            Setting(
                "state", _choice("ready", "draining"), "draining: finishes what it has, and gets nothing new", "ready"
            ),
            Setting("weight", SCORE, "as the sender's weights say", None, absent=""),
        ),
        "route": (
            Setting("pool", IDENTIFIER, "where its messages go"),
            Setting("policy", IDENTIFIER, "the rules for them", "default"),
            Setting("classes", _list(parse_text, "classes"), "what it carries; else every class", None, absent="every"),
            *POLICY,
        ),
    }.items()
}
BLOCKS["endpoints"] = BLOCKS["endpoint"]
SINGLE = ("sender", "rules")  # blocks with no name, at most one each
TOP = tuple(block for block in BLOCKS if block not in ("endpoint", "endpoints"))
