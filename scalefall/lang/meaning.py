"""Statements to a Site: every word checked, every error in one run. No I/O.

In three steps: definitions are gathered by name, their settings are read one by one as the schema says, and then they
are held against each other (addresses, references). What could not be read is left out of the later steps, so that one
mistake is one error.
"""

from __future__ import annotations

import re

import netaddr
from lark import Token

from scalefall.lang import suspicious
from scalefall.lang.model import DEFAULT, Definition, Endpoint, Site, Value
from scalefall.lang.schema import BLOCKS, NAME, SINGLE, TOP, Setting, AddressRange
from scalefall.lang.syntax import Document, Statement, value_of
from scalefall.lang.text import Place, Problems, InvalidValue, pluralize, join_words, suggestion

ROUTE_NUMBER = re.compile(r"(0|[1-9][0-9]{0,8})\Z")
MAX_ENDPOINTS = 200_000
ALREADY_REPORTED = "reported"  # of a value whose shape has its error already


def analyze(file: str, documents: list[Document], problems: Problems) -> Site:
    """The meaning of the documents together; it is complete only if no error was added to problems."""
    reader = _Reader(file, problems)
    reader.incomplete = any(document.broken for document in documents)
    for document in documents:
        for statement in document.statements:
            reader.top(document, statement)
    reader.endpoints_apart()
    reader.addresses()
    reader.references()
    if not reader.incomplete:
        suspicious.add_warnings(reader.site, problems)
    return reader.site


class _Reader:
    def __init__(self, file: str, problems: Problems) -> None:
        nowhere = Place(file, 1)
        self.problems = problems
        self.site = Site(
            file,
            Definition("sender", "", nowhere),
            Definition("rules", "", nowhere),
            {block: {} for block in TOP if block not in SINGLE},
        )
        self.incomplete = False  # a definition is missing or in part: what seems unused or empty may not be
        self._seen: dict[tuple[str, str], Place] = {}
        self._spans: list[tuple[Definition, str, AddressRange, Place]] = []
        self._pools: list[tuple[Definition, Document, list[Statement]]] = []
        self._number = 0  # of endpoints

    # -- definitions

    def top(self, document: Document, statement: Statement) -> None:
        block, place = statement.name, document.place(statement.words[0])
        if block == "include":
            if statement.body is not None:
                self._error("block", place, "include has no block")
            return  # done by whoever loads the files
        if block not in TOP:
            self.incomplete = True
            if block in ("endpoint", "endpoints"):
                self._error("misplaced", place, f"{block} belongs inside a pool", "move it between the pool's braces")
            elif block != "?":
                self._error("unknown", place, f"{block} is no definition", suggestion(block, (*TOP, "include")))
            return
        name = self._head(document, statement, block)
        if name is None:
            self.incomplete = True
            return
        each = Definition(block, name, place)
        if not self._first(block, name, place):
            self.incomplete = True
            return
        endpoints = self._settings(document, statement.body or [], each, block == "pool")
        if block in SINGLE:
            setattr(self.site, block, each)
        else:
            self.site.blocks[block][name] = each
        if block == "pool":
            self._pools.append((each, document, endpoints))

    def endpoints_apart(self) -> None:
        for pool, document, statements in self._pools:
            self._endpoints(pool, document, statements)

    def _head(self, document: Document, statement: Statement, block: str) -> str | None:
        """The definition's name; empty for those that have none; None if it can't be had."""
        place, words = document.place(statement.words[0]), statement.words[1:]
        if statement.body is None:
            self._error(
                "block",
                place,
                f"{block} needs a block in braces",
                f"write {block} {'' if block in SINGLE else 'NAME '}{{ ... }}",
            )
            return None
        if block in SINGLE:
            if words:
                self._error("head", document.place(words[0]), f"{block} has no name", f"write {block} {{ ... }}")
            return ""
        if len(words) != 1 or words[0].type not in ("WORD", "STRING"):
            at = words[1] if len(words) > 1 else statement.words[0]
            self._error("head", document.place(at), f"{block} needs one name", f"write {block} NAME {{ ... }}")
            return None
        name = value_of(words[0])
        if block == "route" and not ROUTE_NUMBER.match(name):
            self._error(
                "name",
                document.place(words[0]),
                f"{name!r} is not a route: routes are numbers of up to nine digits, as X-Route-To names them",
            )
            return None
        free = block in ("class", "kind", "zone", "tenant")  # named by others: any text, in quotes
        if not (
            NAME.match(name) or (free and words[0].type == "STRING" and name.isprintable() and 0 < len(name) <= 200)
        ):
            self._error(
                "name",
                document.place(words[0]),
                f"{name!r} is not a name",
                "letters, digits, dots, dashes and underscores",
            )
            return None
        return name

    def _first(self, block: str, name: str, place: Place) -> bool:
        first = self._seen.setdefault((block, name), place)
        if first is not place:
            self._error(
                "twice",
                place,
                f"{block} {name} is defined twice".replace("  ", " "),
                "keep one of them",
                [(first, "first here")],
            )
        return first is place

    # -- settings

    def _settings(
        self, document: Document, body: list[Statement], each: Definition, with_endpoints: bool
    ) -> list[Statement]:
        """Reads the block's settings into each; gives back the endpoints that stand in it."""
        table, endpoints = BLOCKS[each.block], []
        for statement in body:
            word, place = statement.name, document.place(statement.words[0])
            if with_endpoints and word in ("endpoint", "endpoints"):
                endpoints.append(statement)
            elif word not in table:
                each.broken = True
                self._unknown(document, statement, each)
            elif statement.body is not None:
                each.broken = True
                self._error("block", place, f"{word} has no block", f"write {word} and its value")
            elif word in each.values:
                self._error(
                    "twice",
                    place,
                    f"{word} stands twice in this {each.block}",
                    "keep one of them",
                    [(each.values[word].place, "first here")],
                )
            else:
                self._setting(document, statement, table[word], each)
        for word, setting in table.items():
            if setting.default == "" and word not in each.values and not each.broken:
                each.broken = True
                self._error(
                    "missing",
                    each.place,
                    f"{each.block} {each.name} has no {word}",
                    f"write {word} {setting.lead} and {setting.kind.name} ({setting.doc})".replace("  ", " "),
                )
        if each.broken:
            self.incomplete = True
        return endpoints

    def _unknown(self, document: Document, statement: Statement, each: Definition) -> None:
        word, place = statement.name, document.place(statement.words[0])
        if statement.body is not None and word in TOP:
            self._error(
                "misplaced",
                place,
                f"{word} inside {each.block} {each.name}".rstrip(),
                f"is the closing brace of the {each.block} at line {each.place.line} missing?",
            )
            return
        homes = [block for block in (*TOP, "endpoint") if word in BLOCKS[block]]
        if word in ("endpoint", "endpoints"):
            homes = ["pool"]
        help_text = suggestion(word, BLOCKS[each.block])
        if homes and not help_text.startswith("did"):
            help_text = f"it belongs in {join_words(homes).replace(' and ', ' or ')}"
        self._error("unknown", place, f"{each.block} has no setting {word}", help_text)

    def _setting(self, document: Document, statement: Statement, setting: Setting, each: Definition) -> None:
        words = statement.words[1:]
        try:
            if setting.lead:
                if not words or str(words[0]) != setting.lead:
                    raise InvalidValue(
                        f"{setting.word} is followed by {setting.lead}",
                        f"write {setting.word} {setting.lead} and {setting.kind.name}",
                        code="lead",
                    )
                words = words[1:]
            value = self._read(setting, words)
            each.values[setting.word] = Value(value, document.place(statement.words[0]))
        except InvalidValue as wrong:
            each.broken = True
            self._wrong(document, statement, words, wrong)

    def _read(self, setting: Setting, words: list[Token]) -> object:
        if setting.default is None and setting.absent and [str(word) for word in words] == [setting.absent]:
            return None
        if any(word.type == "BADSTRING" for word in words):
            raise InvalidValue("its string does not end", code=ALREADY_REPORTED)
        if not words:
            raise InvalidValue(
                f"{setting.word} has no value", f"write {setting.word} and {setting.kind.name}", code="missing"
            )
        if not setting.kind.is_list:
            comma = next((at for at, word in enumerate(words) if word.type == "COMMA"), None)
            if comma is not None:
                raise InvalidValue(f"{setting.word} takes one value, not a list", "", comma)
            return setting.kind.read([value_of(word) for word in words])
        for at, word in enumerate(words):
            if (word.type == "COMMA") != bool(at % 2):
                raise InvalidValue(
                    "a comma with nothing before it" if word.type == "COMMA" else f"a comma is missing before {word}",
                    "write a, b, c",
                    at,
                )
        if words[-1].type == "COMMA":
            raise InvalidValue("a comma with nothing after it", "take it out", len(words) - 1)
        try:
            return setting.kind.read([value_of(word) for word in words[::2]])
        except InvalidValue as wrong:
            raise InvalidValue(wrong.text, wrong.instead, 2 * wrong.word, wrong.code) from None

    def _wrong(self, document: Document, statement: Statement, words: list[Token], wrong: InvalidValue) -> None:
        if wrong.code == ALREADY_REPORTED:
            return
        at = words[min(wrong.word, len(words) - 1)] if words else statement.words[0]
        self._error(wrong.code, document.place(at), wrong.text, wrong.instead)

    # -- endpoints

    def _endpoints(self, pool: Definition, document: Document, statements: list[Statement]) -> None:
        found, names = [], {}
        for statement in statements:
            each = self._endpoint(pool, document, statement)
            if each is None:
                self.incomplete = True
                continue
            span: AddressRange = each.get("at")
            self._number += span.last - span.first + 1
            if self._number > MAX_ENDPOINTS:
                self._error("many", each.place, f"more than {pluralize(MAX_ENDPOINTS, 'endpoint')} in all")
                return
            zone, state, weight = each.get("zone"), each.get("state"), each.get("weight")
            self._spans.append((pool, each.name, span, each.values["at"].place))
            for number, host in enumerate(range(span.first, span.last + 1), 1):
                name = each.name if each.block == "endpoint" else f"{each.name}-{number}"
                first = names.setdefault(name, each.place)
                if first is not each.place:
                    self._error(
                        "twice",
                        each.place,
                        f"endpoint {name} of {pool.name} is defined twice",
                        "give one of them another name",
                        [(first, "first here")],
                    )
                    break
                found.append(Endpoint(name, pool.name, host, span.port, zone, state, weight, each.place))
        self.site.endpoints[pool.name] = found

    def _endpoint(self, pool: Definition, document: Document, statement: Statement) -> Definition | None:
        name = self._head(document, statement, statement.name)
        if name is None:
            return None
        each = Definition(statement.name, name, document.place(statement.words[0]))
        self._settings(document, statement.body or [], each, False)
        if each.broken or "at" not in each.values:
            return None
        span, place = each.values["at"]
        if each.block == "endpoint" and span.first != span.last:
            self._error(
                "range",
                place,
                f"endpoint {name} has one address, not {span.last - span.first + 1}",
                f"write endpoints {name} for a range",
            )
            return None
        within = pool.values.get("dial-within")
        networks = within.value if within is not None and within.value is not None else None
        if networks is not None and not any(net.first <= span.first and span.last <= net.last for net in networks):
            outside = (
                next(
                    h
                    for h in range(span.first, span.last + 1)
                    if not any(net.first <= h <= net.last for net in networks)
                )
                if len(networks) == 1
                else span.first
            )
            self._error(
                "outside",
                place,
                f"{netaddr.IPAddress(outside, 4)} of {name} lies outside {join_words(map(str, networks))}",
                "move it, or widen dial-within",
                [(within.place, f"dial-within of pool {pool.name}")],
            )
        return each

    def addresses(self) -> None:
        """One address belongs to one endpoint: spans at each port are laid beside each other."""
        ports: dict[int, list[tuple[Definition, str, AddressRange, Place]]] = {}
        for row in self._spans:
            ports.setdefault(row[2].port, []).append(row)
        for rows in ports.values():
            order = sorted(range(len(rows)), key=lambda at: rows[at][2].first)
            reach: tuple[int, int] | None = None  # the furthest end so far, and whose it is
            for at in order:
                span = rows[at][2]
                if reach is not None and span.first <= reach[0]:
                    self._overlap(*sorted((rows[at], rows[reach[1]]), key=lambda row: row[3]))
                if reach is None or span.last > reach[0]:
                    reach = span.last, at

    def _overlap(
        self, first: tuple[Definition, str, AddressRange, Place], second: tuple[Definition, str, AddressRange, Place]
    ) -> None:
        (pool, name, span, place), (other_pool, other_name, other, other_place) = first, second
        both = AddressRange(max(span.first, other.first), min(span.last, other.last), span.port)
        word = "is" if both.first == both.last else "are"
        where = (
            f"in two pools, {pool.name} and {other_pool.name}"
            if pool is not other_pool
            else f"twice in pool {pool.name}"
        )
        self._error(
            "address-twice",
            other_place,
            f"{both} {word} {where} ({name} and {other_name})",
            "one address belongs to one endpoint",
            [(place, f"{name} of {pool.name}")],
        )

    # -- references

    def references(self) -> None:
        site = self.site
        for pool in site.definitions("pool").values():
            self._declared(pool, "kind", pool.values.get("kind"))
        checked: set[str] = set()
        for endpoint in site.all_endpoints() if site.definitions("zone") else ():
            if endpoint.zone not in checked:
                checked.add(endpoint.zone)
                self._declared(None, "zone", Value(endpoint.zone, endpoint.place))
        carried: dict[str, Definition] = {}
        for route in site.definitions("route").values():
            self._refers(route, "pool")
            self._refers(route, "policy")
            for name in route.get("classes") or ():
                if name not in site.definitions("class") and not self._was_tried("class", name):
                    self._error(
                        "reference",
                        route.values["classes"].place,
                        f"route {route.name} carries class {name}, which is not defined",
                        suggestion(name, site.definitions("class"), "defined are"),
                    )
            pool = route.values.get("pool")
            if pool is not None and pool.value in site.definitions("pool"):
                first = carried.setdefault(pool.value, route)
                if first is not route:
                    self._error(
                        "shared",
                        pool.place,
                        f"pool {pool.value} belongs to route {first.name} already",
                        "give each route a pool of its own: limits are kept by route",
                        [(first.values["pool"].place, f"route {first.name}")],
                    )

    def _was_tried(self, block: str, name: str) -> bool:
        return (block, name) in self._seen

    def _refers(self, route: Definition, block: str) -> None:
        value = route.values.get(block)
        if value is None or value.value in self.site.definitions(block) or self._was_tried(block, value.value):
            return
        if block == "policy" and value.value == DEFAULT:
            return
        self._error(
            "reference",
            value.place,
            f"route {route.name} names {block} {value.value}, which is not defined",
            suggestion(value.value, self.site.definitions(block), "defined are"),
        )

    def _declared(self, pool: Definition | None, block: str, value: Value | None) -> None:
        """Kinds and zones need no definition; but where some are defined, an unknown one may be a slip."""
        known = self.site.definitions(block)
        if value is None or not known or value.value in known or self._was_tried(block, value.value):
            return
        self.problems.warn(
            "undeclared",
            value.place,
            f"{block} {value.value} is not defined, and counts as a plain one",
            suggestion(value.value, known, "defined are"),
        )

    def _error(
        self, code: str, place: Place, text: str, instead: str = "", also: list[tuple[Place, str]] | None = None
    ) -> None:
        self.problems.error(code, place, text, instead, also or ())
