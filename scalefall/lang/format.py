"""The one way a configuration is laid out. Comments stay where they were; words are not touched. No I/O.

Two blanks a level; one statement a line, but statements that shared a line, and blocks that stood on one, stay so while
they fit; at most one empty line in a row, and none at the ends of a block.
"""

from __future__ import annotations

from collections import deque

from lark import Token

from scalefall.lang.syntax import Document, Statement

MAX_COLUMNS = 110
INDENT = "  "


def layout(document: Document) -> str:
    """The document's text, laid out; it must not be broken."""
    return _Layout(document).text()


class _Layout:
    def __init__(self, document: Document) -> None:
        self._statements = document.statements
        self._comments = deque(document.comments)
        self._rows: list[str] = []
        self._fresh = True  # nothing has been written in this block yet
        self._line = 0  # the last line of the source that is written

    def text(self) -> str:
        self._body(self._statements, 0)
        self._comments_before(None, 0)
        return "\n".join(self._rows) + "\n" if self._rows else ""

    def _body(self, statements: list[Statement], level: int) -> None:
        at = 0
        while at < len(statements):
            after = at + 1
            while after < len(statements) and statements[after].line == statements[after - 1].end_line:
                after += 1
            self._together(statements[at:after], level)
            at = after

    def _together(self, group: list[Statement], level: int) -> None:
        """Statements of which each begins on the line where the one before ends."""
        self._comments_before(group[0].line, level)
        flat = [_flat(statement) for statement in group]
        line = "; ".join(flat) if None not in flat else None
        indent = INDENT * level
        if line is not None and len(indent) + len(line) <= MAX_COLUMNS:
            self._write(indent + line, group[0].line, group[-1].end_line)
        else:
            for statement, text in zip(group, flat, strict=False):
                self._one(statement, text, level)
        self._comment_behind(group[-1].end_line)

    def _one(self, statement: Statement, flat: str | None, level: int) -> None:
        indent = INDENT * level
        if statement.body is None or (flat is not None and len(indent) + len(flat) <= MAX_COLUMNS):
            self._write(indent + (flat or _words(statement.words)), statement.line, statement.end_line)
            return
        head_line = _last_line(statement.words)
        self._write(f"{indent}{_words(statement.words)} {{", statement.line, head_line)
        if not statement.body or statement.body[0].line > head_line:
            self._comment_behind(head_line, before=statement.end_line)
        self._fresh = True
        self._body(statement.body, level + 1)
        self._comments_before(statement.end_line, level + 1)
        self._fresh = True  # no empty line before the brace
        self._write(f"{indent}}}", statement.end_line, statement.end_line)

    def _comments_before(self, line: int | None, level: int) -> None:
        while self._comments and (line is None or self._comments[0].line < line):
            comment = self._comments.popleft()
            self._write(INDENT * level + comment.rstrip(), comment.line, comment.line)

    def _comment_behind(self, line: int, before: int | None = None) -> None:
        if self._comments and self._comments[0].line == line and (before is None or line < before):
            self._rows[-1] += f"  {self._comments.popleft().rstrip()}"

    def _write(self, row: str, first: int, last: int) -> None:
        if not self._fresh and first > self._line + 1:
            self._rows.append("")
        self._rows.append(row)
        self._fresh, self._line = False, max(last, self._line)


def _flat(statement: Statement) -> str | None:
    """The statement on one line; None if its block did not stand on one."""
    if statement.body is None:
        return _words(statement.words)
    if statement.line != statement.end_line:
        return None
    inner = [_flat(each) or "" for each in statement.body]
    return f"{_words(statement.words)} {{ {'; '.join(inner)} }}" if inner else f"{_words(statement.words)} {{ }}"


def _words(words: list[Token]) -> str:
    text = ""
    for word in words:
        text += "," if word.type == "COMMA" else f" {word}" if text else str(word)
    return text


def _last_line(words: list[Token]) -> int:
    return words[-1].line
