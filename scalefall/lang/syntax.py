"""The syntax of the language: parses text into statements with their places and reports all syntax errors. No I/O.

A document is a list of statements. A statement is words, ended by `;`, the end of its line or the end of its block; or
words and a block in braces. The parser does not interpret the words. The grammar is LALR(1) (lark); the lexer has a
terminal for every text, so parsing fails only on braces. Such a text is parsed again from its tokens with the braces
repaired: a missing one is inserted before the next definition and a surplus one dropped, each with its error.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput

from scalefall.lang.text import Place, Problems, pluralize

MAX_BLOCK_DEPTH = 16  # of nested blocks; the language itself needs two
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
    """Words as tokens of the types WORD, STRING, COMMA and BADSTRING; `body` is None where there is no block."""

    words: list[Token]
    body: list[Statement] | None = None
    end_line: int = 0  # of the closing brace, or of the last word
    depth: int = 0  # levels of blocks nested in it

    @property
    def line(self) -> int:
        return self.words[0].line

    @property
    def name(self) -> str:
        return value_of(self.words[0])

    def is_equivalent(self, other: Statement) -> bool:
        """Return whether both have the same words in the same blocks, whatever their places and layout."""
        if [(word.type, _canonical(word)) for word in self.words] != [
            (word.type, _canonical(word)) for word in other.words
        ]:
            return False
        if self.body is None or other.body is None:
            return self.body is other.body
        return equivalent_statements(self.body, other.body)


def equivalent_statements(one: list[Statement], other: list[Statement]) -> bool:
    return len(one) == len(other) and all(left.is_equivalent(right) for left, right in zip(one, other, strict=False))


@dataclass(slots=True)
class Document:
    """One parsed file."""

    file: str
    lines: list[str]
    statements: list[Statement] = field(default_factory=list)
    comments: list[Token] = field(default_factory=list)
    broken: bool = False  # it has syntax errors, so statements may be missing or repaired

    def place(self, word: Token) -> Place:
        return Place(self.file, word.line, word.column, max(1, len(word.rstrip())))


def value_of(word: Token) -> str:
    """Return the text of a word: a string without its quotes and escapes."""
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
    """Return a text as a string literal of the language."""
    for char, escape in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\t", "\\t")):
        text = text.replace(char, escape)
    return f'"{text}"'


def _canonical(word: Token) -> str:
    return "," if word.type == "COMMA" else str(word)


class _StatementBuilder(Transformer):
    """Builds statements as the rules are reduced, without a parse tree beside them."""

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
    """The parser of lark, built on first use; the lexer's callback collects the comments."""

    def __init__(self) -> None:
        self.comments: list[Token] = []
        self._lark = Lark(
            GRAMMAR,
            parser="lalr",
            lexer="basic",
            transformer=_StatementBuilder(),
            maybe_placeholders=False,
            lexer_callbacks={"COMMENT": self._record_comment},
        )

    def _record_comment(self, token: Token) -> Token:
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
_lock = threading.Lock()  # a reload may parse in a thread of its own


def parse(text: str, file: str, problems: Problems) -> Document:
    """Parse a text; syntax errors go to `problems`, and the document still holds the rest."""
    global _parser
    text = _normalize(text, file, problems)
    document = Document(file, text.split("\n"))
    with _lock:
        _parser = _parser or _Parser()
        try:
            document.statements = _parser.parse(text)
        except UnexpectedInput:
            document.broken = True
            document.statements = _parser.feed(_balance_braces(_parser.tokens(text), document, problems))
        document.comments = _parser.comments
    for statement in document.statements:
        if statement.depth > MAX_BLOCK_DEPTH:
            problems.error(
                "depth",
                document.place(statement.words[0]),
                f"blocks {pluralize(statement.depth, 'level')} deep; {MAX_BLOCK_DEPTH} is the most",
            )
            statement.body, statement.depth, document.broken = [], 1, True
    _check_strings(document, document.statements, problems)
    return document


def _normalize(text: str, file: str, problems: Problems) -> str:
    """Return the text without byte order mark, CR, tabs and control characters; each kind is reported once."""
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
        line, column = _line_and_column(text, text.index("\t"))
        problems.warn("tab", Place(file, line, column), "a tab", "`scalefall fmt` indents with blanks")
        text = text.replace("\t", " ")
    control_at = (
        next((offset for offset, char in enumerate(text) if char < " " and char != "\n"), -1)
        if not text.isprintable()
        else -1
    )
    if control_at >= 0:
        line, column = _line_and_column(text, control_at)
        what = "a NUL byte" if text[control_at] == "\0" else f"a control character (code {ord(text[control_at])})"
        problems.error("control", Place(file, line, column), f"{what} in the text", "take it out")
        text = "".join(char if char >= " " or char == "\n" else "\ufffd" for char in text)
    return text


def _line_and_column(text: str, offset: int) -> tuple[int, int]:
    return text.count("\n", 0, offset) + 1, offset - (text.rfind("\n", 0, offset) + 1) + 1


def _balance_braces(tokens: list[Token], document: Document, problems: Problems) -> Iterator[Token]:
    """Yield the tokens with balanced braces, and report an error for each repair."""
    never_closed = sum(token.type == "OPEN" for token in tokens) > sum(token.type == "CLOSE" for token in tokens)
    open_braces: list[Token] = []
    last_type = "_SEP"
    for token in tokens:
        if token.type == "OPEN":
            if last_type not in ("WORD", "STRING", "COMMA", "BADSTRING"):
                problems.error(
                    "brace",
                    document.place(token),
                    "a block with no name before its brace",
                    "write what it is first, like pool name {",
                )
                yield _synthetic_token("WORD", "?", token)
            open_braces.append(token)
        elif token.type == "CLOSE":
            if not open_braces:
                problems.error(
                    "brace", document.place(token), "a closing brace that no block is open for", "take it out"
                )
                continue
            open_braces.pop()
        elif (
            never_closed and open_braces and token in TOP_WORDS and token.column == 1 and last_type in ("_SEP", "CLOSE")
        ):
            _report_unclosed(
                open_braces[-1], document, problems, f" before {token} at line {token.line}", len(open_braces) - 1
            )
            for _ in open_braces:
                yield _synthetic_token("CLOSE", "}", token)
            open_braces = []
        yield token
        last_type = token.type
    if open_braces:
        _report_unclosed(
            open_braces[-1] if len(open_braces) <= MAX_BLOCK_DEPTH else open_braces[0],
            document,
            problems,
            "",
            len(open_braces) - 1,
        )
    for _ in open_braces:
        yield _synthetic_token("CLOSE", "}", tokens[-1])


def _report_unclosed(brace: Token, document: Document, problems: Problems, where: str, outer_count: int) -> None:
    text = f"this block is never closed{where}" + (
        f", nor {pluralize(outer_count, 'block')} around it" if outer_count else ""
    )
    problems.error("unclosed", document.place(brace), text, "write its closing brace }")


def _synthetic_token(kind: str, text: str, position: Token) -> Token:
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


def _check_strings(document: Document, statements: list[Statement], problems: Problems) -> None:
    """Report strings that do not end on their line, and unknown escapes."""
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
                _check_escapes(document, word, problems)
        _check_strings(document, statement.body or [], problems)


def _check_escapes(document: Document, word: Token, problems: Problems) -> None:
    rest = iter(word[1:-1])
    for char in rest:
        if char == "\\" and (escape := next(rest)) not in ESCAPES:
            problems.error("escape", document.place(word), f"\\{escape} is no escape", 'write \\n, \\t, \\" or \\\\')
