"""Canonical form of files: indents of two, `=` aligned within a run of attributes, no space at line ends.

Only white space is touched: what a file means stays as it is, and so do comments and heredocs.
"""

from __future__ import annotations

import re

PAIR = re.compile(r'^("(?:[^"\\]|\\.)*"|[A-Za-z_][\w-]*)\s*=(?![=>])\s*(.*)$')
HEREDOC = re.compile(r"<<-?(\w+)\s*$")


def canonical(text: str) -> str:
    """The text in canonical form. The text must be HCL that was read without a fault."""
    lines: list[tuple[int, str, bool]] = []  # depth, text, whether it is kept as it is
    depth, ends, comment = 0, "", False
    for raw in text.splitlines():
        if ends:  # within a heredoc
            lines.append((0, raw, True))
            if raw.strip() == ends:
                ends = ""
            continue
        line = raw.strip()
        if comment:
            lines.append((0, raw.rstrip(), True))
            comment = "*/" not in line
            continue
        opened, closed_first, comment = _brackets(line)
        lines.append((max(0, depth - closed_first), line, False))
        depth = max(0, depth + opened)
        match = HEREDOC.search(line)
        ends = match[1] if match and not line.startswith("#") else ""
    return _joined(_aligned(lines))


def _brackets(line: str) -> tuple[int, int, bool]:
    """By how much the line deepens what follows, how many it closes first, and whether a comment goes on."""
    depth, first, leading, i = 0, 0, True, 0
    while i < len(line):
        c = line[i]
        if c == '"':
            i = _string_end(line, i)
            leading = False
        elif c == "#" or line.startswith("//", i):
            break
        elif line.startswith("/*", i):
            end = line.find("*/", i + 2)
            if end < 0:
                return depth, first, True
            i = end + 1
        elif c in "{[(":
            depth, leading = depth + 1, False
        elif c in "}])":
            depth -= 1
            first += leading
        elif not c.isspace():
            leading = False
        i += 1
    return depth, first, False


def _string_end(line: str, begin: int) -> int:
    """Where the string that begins there ends; interpolations may hold strings themselves."""
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


def _aligned(lines: list[tuple[int, str, bool]]) -> list[str]:
    done: list[str] = []
    run: list[tuple[int, str, str]] = []

    def flush() -> None:
        width = max((len(name) for _, name, _ in run), default=0)
        done.extend(f"{'  ' * depth}{name.ljust(width)} = {value}".rstrip() for depth, name, value in run)
        run.clear()

    for depth, line, kept in lines:
        match = None if kept else PAIR.match(line)
        if match is None:
            flush()
            done.append(line if kept else ("  " * depth + line).rstrip())
            continue
        if run and run[0][0] != depth:
            flush()
        run.append((depth, match[1], match[2]))
        if _brackets(line)[0]:  # a value of several lines stands by itself
            last = run.pop()
            flush()
            run.append(last)
            flush()
    flush()
    return done


def _joined(lines: list[str]) -> str:
    """One empty line at most between others, none at the ends."""
    kept: list[str] = []
    for line in lines:
        if line or (kept and kept[-1]):
            kept.append(line)
    while kept and not kept[-1]:
        kept.pop()
    return "\n".join(kept) + "\n" if kept else ""
