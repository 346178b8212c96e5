"""Formats files: two-space indents, `=` aligned in consecutive attributes, no trailing spaces.

Only white space changes; comments and heredocs stay as they are.
"""

from __future__ import annotations

import re

ATTRIBUTE = re.compile(r'^("(?:[^"\\]|\\.)*"|[A-Za-z_][\w-]*)\s*=(?![=>])\s*(.*)$')
HEREDOC = re.compile(r"<<-?(\w+)\s*$")


def canonical(text: str) -> str:
    """The text in canonical form. The text must be valid HCL."""
    lines: list[tuple[int, str, bool]] = []  # depth, text, whether it is kept verbatim
    depth, heredoc_end, in_comment = 0, "", False
    for raw in text.splitlines():
        if heredoc_end:  # within a heredoc
            lines.append((0, raw, True))
            if raw.strip() == heredoc_end:
                heredoc_end = ""
            continue
        line = raw.strip()
        if in_comment:
            lines.append((0, raw.rstrip(), True))
            in_comment = "*/" not in line
            continue
        depth_change, leading_closed, in_comment = _brackets(line)
        lines.append((max(0, depth - leading_closed), line, False))
        depth = max(0, depth + depth_change)
        match = HEREDOC.search(line)
        heredoc_end = match[1] if match and not line.startswith("#") else ""
    return _join(_align(lines))


def _brackets(line: str) -> tuple[int, int, bool]:
    """By how much the line changes the depth, how many brackets it begins by closing, whether a comment stays open."""
    depth, leading_closed, at_start, i = 0, 0, True, 0
    while i < len(line):
        c = line[i]
        if c == '"':
            i = _string_end(line, i)
            at_start = False
        elif c == "#" or line.startswith("//", i):
            break
        elif line.startswith("/*", i):
            end = line.find("*/", i + 2)
            if end < 0:
                return depth, leading_closed, True
            i = end + 1
        elif c in "{[(":
            depth, at_start = depth + 1, False
        elif c in "}])":
            depth -= 1
            leading_closed += at_start
        elif not c.isspace():
            at_start = False
        i += 1
    return depth, leading_closed, False


def _string_end(line: str, begin: int) -> int:
    """The index of the quote that ends the string; interpolations may contain strings themselves."""
    i, nested = begin + 1, 0
    while i < len(line):
        if line[i] == "\\":
            i += 1
        elif line.startswith("${", i):
            nested += 1
            i += 1
        elif line[i] == "}" and nested:
            nested -= 1
        elif line[i] == '"' and not nested:
            return i
        elif line[i] == '"':
            i = _string_end(line, i)
        i += 1
    return len(line)


def _align(lines: list[tuple[int, str, bool]]) -> list[str]:
    formatted: list[str] = []
    run: list[tuple[int, str, str]] = []

    def flush() -> None:
        width = max((len(name) for _, name, _ in run), default=0)
        formatted.extend(f"{'  ' * depth}{name.ljust(width)} = {value}".rstrip() for depth, name, value in run)
        run.clear()

    for depth, line, verbatim in lines:
        match = None if verbatim else ATTRIBUTE.match(line)
        if match is None:
            flush()
            formatted.append(line if verbatim else ("  " * depth + line).rstrip())
            continue
        if run and run[0][0] != depth:
            flush()
        run.append((depth, match[1], match[2]))
        if _brackets(line)[0]:  # a multi-line value is aligned with no other line
            last = run.pop()
            flush()
            run.append(last)
            flush()
    flush()
    return formatted


def _join(lines: list[str]) -> str:
    """Joins the lines with at most one blank line between others and none at either end."""
    joined: list[str] = []
    for line in lines:
        if line or (joined and joined[-1]):
            joined.append(line)
    while joined and not joined[-1]:
        joined.pop()
    return "\n".join(joined) + "\n" if joined else ""
