"""The formatter. Comments stay where they are, and words stay unchanged. No I/O.

It indents by two spaces per level and writes one statement per line; statements that share a line, and blocks on one
line, stay so while they fit. It writes at most one empty line in a row, and none at the start or end of a block.
"""

from __future__ import annotations

from collections import deque

from lark import Token

from scalefall.lang.syntax import Document, Statement

MAX_COLUMNS = 110
INDENT = "  "


def layout(document: Document) -> str:
    """Return the formatted text of a document; the document must not be broken."""
    return _Layout(document).text()


class _Layout:
    def __init__(self, document: Document) -> None:
        self._statements = document.statements
        self._comments = deque(document.comments)
        self._rows: list[str] = []
        self._at_block_start = True  # nothing is written in this block yet
        self._line = 0  # the last source line written so far

    def text(self) -> str:
        self._write_body(self._statements, 0)
        self._write_comments_before(None, 0)
        return "\n".join(self._rows) + "\n" if self._rows else ""

    def _write_body(self, statements: list[Statement], level: int) -> None:
        start = 0
        while start < len(statements):
            end = start + 1
            while end < len(statements) and statements[end].line == statements[end - 1].end_line:
                end += 1
            self._write_group(statements[start:end], level)
            start = end

    def _write_group(self, group: list[Statement], level: int) -> None:
        """Write statements that each begin on the line where the one before ends."""
        self._write_comments_before(group[0].line, level)
        flat = [_flat(statement) for statement in group]
        line = "; ".join(flat) if None not in flat else None
        indent = INDENT * level
        if line is not None and len(indent) + len(line) <= MAX_COLUMNS:
            self._write_row(indent + line, group[0].line, group[-1].end_line)
        else:
            for statement, text in zip(group, flat, strict=False):
                self._write_statement(statement, text, level)
        self._append_comment(group[-1].end_line)

    def _write_statement(self, statement: Statement, flat: str | None, level: int) -> None:
        indent = INDENT * level
        if statement.body is None or (flat is not None and len(indent) + len(flat) <= MAX_COLUMNS):
            self._write_row(indent + (flat or _words(statement.words)), statement.line, statement.end_line)
            return
        head_line = _last_line(statement.words)
        self._write_row(f"{indent}{_words(statement.words)} {{", statement.line, head_line)
        if not statement.body or statement.body[0].line > head_line:
            self._append_comment(head_line, before=statement.end_line)
        self._at_block_start = True
        self._write_body(statement.body, level + 1)
        self._write_comments_before(statement.end_line, level + 1)
        self._at_block_start = True  # no empty line before the brace
        self._write_row(f"{indent}}}", statement.end_line, statement.end_line)

    def _write_comments_before(self, line: int | None, level: int) -> None:
        while self._comments and (line is None or self._comments[0].line < line):
            comment = self._comments.popleft()
            self._write_row(INDENT * level + comment.rstrip(), comment.line, comment.line)

    def _append_comment(self, line: int, before: int | None = None) -> None:
        if self._comments and self._comments[0].line == line and (before is None or line < before):
            self._rows[-1] += f"  {self._comments.popleft().rstrip()}"

    def _write_row(self, row: str, first: int, last: int) -> None:
        if not self._at_block_start and first > self._line + 1:
            self._rows.append("")
        self._rows.append(row)
        self._at_block_start, self._line = False, max(last, self._line)


def _flat(statement: Statement) -> str | None:
    """Return the statement on one line; None if its block spans several lines in the source."""
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
