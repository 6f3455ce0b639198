"""The shape of the language: text to statements with their places, and every error of shape in one run. No I/O.

A document is statements. A statement is words, ended by `;`, the end of its line or the end of its block; or words and
a block in braces. What the words mean is not known here. The grammar is LALR(1) (lark); the lexer has a terminal for
every text, so that only braces can go wrong. A text that does so is taken apart again token by token and mended: a
missing brace is put in where the next definition starts, and an idle one is left out, each with its error.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput

from scalefall.lang.text import Place, Problems, pluralize

MAX_BLOCK_DEPTH = 16  # blocks within blocks: the language itself needs two
TOP_WORDS = ("class", "include", "kind", "policy", "pool", "route", "rules", "sender", "tenant", "zone")
GRAMMAR = r"""
start: _items? statement?
_items: _item | _items _item
_item: _SEP | statement _SEP | block
statement: head
block: head OPEN _items? statement? CLOSE
head: (WORD | STRING | COMMA | BADSTRING)+
OPEN: "{"
CLOSE: "}"
COMMA: /,\s*/
STRING.3: /"([^"\\\n]|\\[^\n])*"/
BADSTRING.2: /"([^"\\\n]|\\[^\n])*/
WORD: /[^\s;,{}"#]+/
COMMENT: /#[^\n]*/
_SEP: /[;\n]/
BLANK: /[^\S\n]+/
%ignore BLANK
%ignore COMMENT
"""
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


@dataclass(slots=True)
class Statement:
    """Words as tokens of the kinds WORD, STRING and COMMA; body is None where there is no block."""

    words: list[Token]
    body: list[Statement] | None = None
    end_line: int = 0  # of the closing brace, or of the last word
    depth: int = 0  # levels of blocks within it

    @property
    def line(self) -> int:
        return self.words[0].line

    @property
    def name(self) -> str:
        return value_of(self.words[0])

    def is_equivalent(self, other: Statement) -> bool:
        """The same words in the same blocks; places and layout do not count."""
        if [(word.type, _plain(word)) for word in self.words] != [(w.type, _plain(w)) for w in other.words]:
            return False
        if self.body is None or other.body is None:
            return self.body is other.body
        return equivalent_statements(self.body, other.body)


def equivalent_statements(one: list[Statement], other: list[Statement]) -> bool:
    return len(one) == len(other) and all(a.is_equivalent(b) for a, b in zip(one, other, strict=False))


@dataclass(slots=True)
class Document:
    """One file, taken apart."""

    file: str
    lines: list[str]
    statements: list[Statement] = field(default_factory=list)
    comments: list[Token] = field(default_factory=list)
    broken: bool = False  # its shape had to be mended

    def place(self, word: Token) -> Place:
        return Place(self.file, word.line, word.column, max(1, len(word.rstrip())))


def value_of(word: Token) -> str:
    """The text that a word stands for: a string without its quotes and escapes."""
    if word.type != "STRING" or word[:1] != '"':
        return str(word)
    if "\\" not in word:
        return word[1:-1]
    result, rest = [], iter(word[1:-1])
    for char in rest:
        if char == "\\":
            char = next(rest)
            result.append(ESCAPES.get(char, "\\" + char))
        else:
            result.append(char)
    return "".join(result)


def quoted(text: str) -> str:
    """A text as a string of the language."""
    for char, escape in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\t", "\\t")):
        text = text.replace(char, escape)
    return f'"{text}"'


def _plain(word: Token) -> str:
    return "," if word.type == "COMMA" else str(word)


class _Build(Transformer):
    """Called for each rule as it is reduced; no tree is kept besides the statements."""

    def head(self, children: list[Token]) -> list[Token]:
        return children

    def statement(self, children: list[list[Token]]) -> Statement:
        return Statement(children[0], None, children[0][-1].line)

    def block(self, children: list) -> Statement:
        body = children[2:-1]
        depth = 1 + max((inner.depth for inner in body), default=0)
        return Statement(children[0], body, children[-1].line, depth)

    def start(self, children: list[Statement]) -> list[Statement]:
        return children


class _Parser:
    """lark's parser, made once when first needed; comments are collected on the side."""

    def __init__(self) -> None:
        self.comments: list[Token] = []
        self._lark = Lark(
            GRAMMAR,
            parser="lalr",
            lexer="basic",
            transformer=_Build(),
            maybe_placeholders=False,
            lexer_callbacks={"COMMENT": self._comment},
        )

    def _comment(self, token: Token) -> Token:
        self.comments.append(token)
        return token

    def parse(self, text: str) -> list[Statement]:
        self.comments = []
        return self._lark.parse(text)

    def tokens(self, text: str) -> list[Token]:
        self.comments = []
        return list(self._lark.lex(text))

    def feed(self, tokens: Iterator[Token]) -> list[Statement]:
        interactive = self._lark.parse_interactive()
        for token in tokens:
            interactive.feed_token(token)
        return interactive.feed_eof()


_parser: _Parser | None = None
_lock = threading.Lock()  # a reload may be read in a thread of its own


def parse(text: str, file: str, problems: Problems) -> Document:
    """The text as a Document; what is wrong with its shape goes to problems, and the rest is there all the same."""
    global _parser
    text = _clean(text, file, problems)
    document = Document(file, text.split("\n"))
    with _lock:
        _parser = _parser or _Parser()
        try:
            document.statements = _parser.parse(text)
        except UnexpectedInput:
            document.broken = True
            document.statements = _parser.feed(_mended(_parser.tokens(text), document, problems))
        document.comments = _parser.comments
    for statement in document.statements:
        if statement.depth > MAX_BLOCK_DEPTH:
            problems.error(
                "depth",
                document.place(statement.words[0]),
                f"blocks {pluralize(statement.depth, 'level')} deep; {MAX_BLOCK_DEPTH} is the most",
            )
            statement.body, statement.depth, document.broken = [], 1, True
    _strings(document, document.statements, problems)
    return document


def _clean(text: str, file: str, problems: Problems) -> str:
    """Without what editors leave in a file; each kind is reported once."""
    if text.startswith("\ufeff"):
        text = text[1:]
        problems.warn("bom", Place(file, 1), "the file starts with a byte order mark", "`scalefall fmt` takes it out")
    if "\r" in text:
        line = text.count("\n", 0, text.index("\r")) + 1
        problems.warn(
            "line-ends", Place(file, line), "lines end as on Windows (CR LF)", "`scalefall fmt` writes plain ones"
        )
        text = text.replace("\r\n", "\n").replace("\r", "\n")
    if "\t" in text:
        line, column = _at(text, text.index("\t"))
        problems.warn("tab", Place(file, line, column), "a tab", "`scalefall fmt` indents with blanks")
        text = text.replace("\t", " ")
    bad = (
        next((at for at, char in enumerate(text) if char < " " and char != "\n"), -1) if not text.isprintable() else -1
    )
    if bad >= 0:
        line, column = _at(text, bad)
        what = "a NUL byte" if text[bad] == "\0" else f"a control character (code {ord(text[bad])})"
        problems.error("control", Place(file, line, column), f"{what} in the text", "take it out")
        text = "".join(char if char >= " " or char == "\n" else "\ufffd" for char in text)
    return text


def _at(text: str, offset: int) -> tuple[int, int]:
    return text.count("\n", 0, offset) + 1, offset - (text.rfind("\n", 0, offset) + 1) + 1


def _mended(tokens: list[Token], document: Document, problems: Problems) -> Iterator[Token]:
    """The tokens with the braces put right, and an error for each that was wrong."""
    never_closed = sum(t.type == "OPEN" for t in tokens) > sum(t.type == "CLOSE" for t in tokens)
    opened: list[Token] = []
    last = "_SEP"
    for token in tokens:
        if token.type == "OPEN":
            if last not in ("WORD", "STRING", "COMMA", "BADSTRING"):
                problems.error(
                    "brace",
                    document.place(token),
                    "a block with no name before its brace",
                    "write what it is first, like pool name {",
                )
                yield _made("WORD", "?", token)
            opened.append(token)
        elif token.type == "CLOSE":
            if not opened:
                problems.error(
                    "brace", document.place(token), "a closing brace that no block is open for", "take it out"
                )
                continue
            opened.pop()
        elif never_closed and opened and token in TOP_WORDS and token.column == 1 and last in ("_SEP", "CLOSE"):
            _unclosed(opened[-1], document, problems, f" before {token} at line {token.line}", len(opened) - 1)
            for _ in opened:
                yield _made("CLOSE", "}", token)
            opened = []
        yield token
        last = token.type
    if opened:
        _unclosed(opened[-1] if len(opened) <= MAX_BLOCK_DEPTH else opened[0], document, problems, "", len(opened) - 1)
    for _ in opened:
        yield _made("CLOSE", "}", tokens[-1])


def _unclosed(brace: Token, document: Document, problems: Problems, where: str, around: int) -> None:
    text = f"this block is never closed{where}" + (f", nor {pluralize(around, 'block')} around it" if around else "")
    problems.error("unclosed", document.place(brace), text, "write its closing brace }")


def _made(kind: str, text: str, position: Token) -> Token:
    return Token(
        kind,
        text,
        position.start_pos,
        position.line,
        position.column,
        position.line,
        position.column + 1,
        position.start_pos,
    )


def _strings(document: Document, statements: list[Statement], problems: Problems) -> None:
    """Strings that do not end on their line, and escapes that do not exist."""
    if not any('"' in line for line in document.lines):
        return
    for statement in statements:
        for word in statement.words:
            if word.type == "BADSTRING":
                problems.error(
                    "string", document.place(word), "this string does not end on its line", "write its closing quote"
                )
                document.broken = True
            elif word.type == "STRING":
                _escapes(document, word, problems)
        _strings(document, statement.body or [], problems)


def _escapes(document: Document, word: Token, problems: Problems) -> None:
    rest = iter(word[1:-1])
    for char in rest:
        if char == "\\" and (follows := next(rest)) not in ESCAPES:
            problems.error("escape", document.place(word), f"\\{follows} is no escape", 'write \\n, \\t, \\" or \\\\')
