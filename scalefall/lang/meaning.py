"""Semantic analysis: turns statements into a Site, checks every word and reports all errors in one run. No I/O.

It has three steps: collect definitions by name, read their settings according to the schema, and check them against
each other (addresses, references). What could not be read is left out of the later steps, so that one mistake gives
one error.
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
ALREADY_REPORTED = "reported"  # code of a value whose syntax error is reported already


def analyze(file: str, documents: list[Document], problems: Problems) -> Site:
    """Return the Site of all documents; it is complete only if no error was added to `problems`."""
    reader = _Reader(file, problems)
    reader.incomplete = any(document.broken for document in documents)
    for document in documents:
        for statement in document.statements:
            reader.define(document, statement)
    reader.read_endpoints()
    reader.check_addresses()
    reader.check_references()
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
        self.incomplete = False  # a definition is missing or incomplete, so "unused" and "empty" cannot be judged
        self._seen: dict[tuple[str, str], Place] = {}
        self._ranges: list[tuple[Definition, str, AddressRange, Place]] = []
        self._pools: list[tuple[Definition, Document, list[Statement]]] = []
        self._endpoint_count = 0

    # -- definitions

    def define(self, document: Document, statement: Statement) -> None:
        block, place = statement.name, document.place(statement.words[0])
        if block == "include":
            if statement.body is not None:
                self._error("block", place, "include has no block")
            return  # the loader of the files handles it
        if block not in TOP:
            self.incomplete = True
            if block in ("endpoint", "endpoints"):
                self._error("misplaced", place, f"{block} belongs inside a pool", "move it between the pool's braces")
            elif block != "?":
                self._error("unknown", place, f"{block} is no definition", suggestion(block, (*TOP, "include")))
            return
        name = self._definition_name(document, statement, block)
        if name is None:
            self.incomplete = True
            return
        definition = Definition(block, name, place)
        if not self._is_first(block, name, place):
            self.incomplete = True
            return
        endpoints = self._read_settings(document, statement.body or [], definition, block == "pool")
        if block in SINGLE:
            setattr(self.site, block, definition)
        else:
            self.site.blocks[block][name] = definition
        if block == "pool":
            self._pools.append((definition, document, endpoints))

    def read_endpoints(self) -> None:
        for pool, document, statements in self._pools:
            self._read_endpoints(pool, document, statements)

    def _definition_name(self, document: Document, statement: Statement, block: str) -> str | None:
        """Return the definition's name, empty for blocks without a name; None, with an error, if it is invalid."""
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
            faulty = words[1] if len(words) > 1 else statement.words[0]
            self._error("head", document.place(faulty), f"{block} needs one name", f"write {block} NAME {{ ... }}")
            return None
        name = value_of(words[0])
        if block == "route" and not ROUTE_NUMBER.match(name):
            self._error(
                "name",
                document.place(words[0]),
                f"{name!r} is not a route: routes are numbers of up to nine digits, as X-Route-To names them",
            )
            return None
        # These names come from outside the language, so they may be any text, in quotes.
        any_text_allowed = block in ("class", "kind", "zone", "tenant")
        if not (
            NAME.match(name)
            or (any_text_allowed and words[0].type == "STRING" and name.isprintable() and 0 < len(name) <= 200)
        ):
            self._error(
                "name",
                document.place(words[0]),
                f"{name!r} is not a name",
                "letters, digits, dots, dashes and underscores",
            )
            return None
        return name

    def _is_first(self, block: str, name: str, place: Place) -> bool:
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

    def _read_settings(
        self, document: Document, body: list[Statement], definition: Definition, with_endpoints: bool
    ) -> list[Statement]:
        """Read the block's settings into `definition`; return the endpoint statements in it."""
        table, endpoints = BLOCKS[definition.block], []
        for statement in body:
            word, place = statement.name, document.place(statement.words[0])
            if with_endpoints and word in ("endpoint", "endpoints"):
                endpoints.append(statement)
            elif word not in table:
                definition.broken = True
                self._report_unknown(document, statement, definition)
            elif statement.body is not None:
                definition.broken = True
                self._error("block", place, f"{word} has no block", f"write {word} and its value")
            elif word in definition.values:
                self._error(
                    "twice",
                    place,
                    f"{word} stands twice in this {definition.block}",
                    "keep one of them",
                    [(definition.values[word].place, "first here")],
                )
            else:
                self._read_setting(document, statement, table[word], definition)
        for word, setting in table.items():
            if setting.default == "" and word not in definition.values and not definition.broken:
                definition.broken = True
                self._error(
                    "missing",
                    definition.place,
                    f"{definition.block} {definition.name} has no {word}",
                    f"write {word} {setting.lead} and {setting.kind.name} ({setting.doc})".replace("  ", " "),
                )
        if definition.broken:
            self.incomplete = True
        return endpoints

    def _report_unknown(self, document: Document, statement: Statement, definition: Definition) -> None:
        word, place = statement.name, document.place(statement.words[0])
        if statement.body is not None and word in TOP:
            self._error(
                "misplaced",
                place,
                f"{word} inside {definition.block} {definition.name}".rstrip(),
                f"is the closing brace of the {definition.block} at line {definition.place.line} missing?",
            )
            return
        homes = [block for block in (*TOP, "endpoint") if word in BLOCKS[block]]
        if word in ("endpoint", "endpoints"):
            homes = ["pool"]
        hint = suggestion(word, BLOCKS[definition.block])
        if homes and not hint.startswith("did"):
            hint = f"it belongs in {join_words(homes).replace(' and ', ' or ')}"
        self._error("unknown", place, f"{definition.block} has no setting {word}", hint)

    def _read_setting(self, document: Document, statement: Statement, setting: Setting, definition: Definition) -> None:
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
            value = self._read_value(setting, words)
            definition.values[setting.word] = Value(value, document.place(statement.words[0]))
        except InvalidValue as error:
            definition.broken = True
            self._report(document, statement, words, error)

    def _read_value(self, setting: Setting, words: list[Token]) -> object:
        if setting.default is None and setting.absent and [str(word) for word in words] == [setting.absent]:
            return None
        if any(word.type == "BADSTRING" for word in words):
            raise InvalidValue("its string does not end", code=ALREADY_REPORTED)
        if not words:
            raise InvalidValue(
                f"{setting.word} has no value", f"write {setting.word} and {setting.kind.name}", code="missing"
            )
        if not setting.kind.is_list:
            comma = next((index for index, word in enumerate(words) if word.type == "COMMA"), None)
            if comma is not None:
                raise InvalidValue(f"{setting.word} takes one value, not a list", "", comma)
            return setting.kind.read([value_of(word) for word in words])
        for index, word in enumerate(words):
            if (word.type == "COMMA") != bool(index % 2):
                raise InvalidValue(
                    "a comma with nothing before it" if word.type == "COMMA" else f"a comma is missing before {word}",
                    "write a, b, c",
                    index,
                )
        if words[-1].type == "COMMA":
            raise InvalidValue("a comma with nothing after it", "take it out", len(words) - 1)
        try:
            return setting.kind.read([value_of(word) for word in words[::2]])
        except InvalidValue as error:
            raise InvalidValue(error.text, error.instead, 2 * error.word, error.code) from None

    def _report(self, document: Document, statement: Statement, words: list[Token], error: InvalidValue) -> None:
        if error.code == ALREADY_REPORTED:
            return
        faulty = words[min(error.word, len(words) - 1)] if words else statement.words[0]
        self._error(error.code, document.place(faulty), error.text, error.instead)

    # -- endpoints

    def _read_endpoints(self, pool: Definition, document: Document, statements: list[Statement]) -> None:
        found, names = [], {}
        for statement in statements:
            definition = self._read_endpoint(pool, document, statement)
            if definition is None:
                self.incomplete = True
                continue
            addresses: AddressRange = definition.get("at")
            self._endpoint_count += addresses.last - addresses.first + 1
            if self._endpoint_count > MAX_ENDPOINTS:
                self._error("many", definition.place, f"more than {pluralize(MAX_ENDPOINTS, 'endpoint')} in all")
                return
            zone, state, weight = definition.get("zone"), definition.get("state"), definition.get("weight")
            self._ranges.append((pool, definition.name, addresses, definition.values["at"].place))
            for number, host in enumerate(range(addresses.first, addresses.last + 1), 1):
                name = definition.name if definition.block == "endpoint" else f"{definition.name}-{number}"
                first = names.setdefault(name, definition.place)
                if first is not definition.place:
                    self._error(
                        "twice",
                        definition.place,
                        f"endpoint {name} of {pool.name} is defined twice",
                        "give one of them another name",
                        [(first, "first here")],
                    )
                    break
                found.append(Endpoint(name, pool.name, host, addresses.port, zone, state, weight, definition.place))
        self.site.endpoints[pool.name] = found

    def _read_endpoint(self, pool: Definition, document: Document, statement: Statement) -> Definition | None:
        name = self._definition_name(document, statement, statement.name)
        if name is None:
            return None
        definition = Definition(statement.name, name, document.place(statement.words[0]))
        self._read_settings(document, statement.body or [], definition, False)
        if definition.broken or "at" not in definition.values:
            return None
        addresses, place = definition.values["at"]
        if definition.block == "endpoint" and addresses.first != addresses.last:
            self._error(
                "range",
                place,
                f"endpoint {name} has one address, not {addresses.last - addresses.first + 1}",
                f"write endpoints {name} for a range",
            )
            return None
        within = pool.values.get("dial-within")
        networks = within.value if within is not None and within.value is not None else None
        if networks is not None and not any(
            net.first <= addresses.first and addresses.last <= net.last for net in networks
        ):
            outside = (
                next(
                    number
                    for number in range(addresses.first, addresses.last + 1)
                    if not any(net.first <= number <= net.last for net in networks)
                )
                if len(networks) == 1
                else addresses.first
            )
            self._error(
                "outside",
                place,
                f"{netaddr.IPAddress(outside, 4)} of {name} lies outside {join_words(map(str, networks))}",
                "move it, or widen dial-within",
                [(within.place, f"dial-within of pool {pool.name}")],
            )
        return definition

    def check_addresses(self) -> None:
        """Check that no two endpoints have the same address: sort the ranges of each port and report overlaps."""
        ports: dict[int, list[tuple[Definition, str, AddressRange, Place]]] = {}
        for row in self._ranges:
            ports.setdefault(row[2].port, []).append(row)
        for rows in ports.values():
            order = sorted(range(len(rows)), key=lambda index: rows[index][2].first)
            furthest: tuple[int, int] | None = None  # the highest end so far, and the index of its range
            for index in order:
                addresses = rows[index][2]
                if furthest is not None and addresses.first <= furthest[0]:
                    self._report_overlap(*sorted((rows[index], rows[furthest[1]]), key=lambda row: row[3]))
                if furthest is None or addresses.last > furthest[0]:
                    furthest = addresses.last, index

    def _report_overlap(
        self, first: tuple[Definition, str, AddressRange, Place], second: tuple[Definition, str, AddressRange, Place]
    ) -> None:
        (pool, name, addresses, place), (other_pool, other_name, other, other_place) = first, second
        both = AddressRange(max(addresses.first, other.first), min(addresses.last, other.last), addresses.port)
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

    def check_references(self) -> None:
        site = self.site
        for pool in site.definitions("pool").values():
            self._warn_undeclared(pool, "kind", pool.values.get("kind"))
        checked: set[str] = set()
        for endpoint in site.all_endpoints() if site.definitions("zone") else ():
            if endpoint.zone not in checked:
                checked.add(endpoint.zone)
                self._warn_undeclared(None, "zone", Value(endpoint.zone, endpoint.place))
        carried: dict[str, Definition] = {}
        for route in site.definitions("route").values():
            self._check_reference(route, "pool")
            self._check_reference(route, "policy")
            for name in route.get("classes") or ():
                if name not in site.definitions("class") and not self._is_attempted("class", name):
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

    def _is_attempted(self, block: str, name: str) -> bool:
        return (block, name) in self._seen

    def _check_reference(self, route: Definition, block: str) -> None:
        value = route.values.get(block)
        if value is None or value.value in self.site.definitions(block) or self._is_attempted(block, value.value):
            return
        if block == "policy" and value.value == DEFAULT:
            return
        self._error(
            "reference",
            value.place,
            f"route {route.name} names {block} {value.value}, which is not defined",
            suggestion(value.value, self.site.definitions(block), "defined are"),
        )

    def _warn_undeclared(self, pool: Definition | None, block: str, value: Value | None) -> None:
        """Warn of an undefined kind or zone where others are defined: it may be a typing error."""
        known = self.site.definitions(block)
        if value is None or not known or value.value in known or self._is_attempted(block, value.value):
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
