"""Reads HCL files (with python-hcl2) into blocks and attributes that record their lines."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import hcl2
from lark import Tree
from lark.exceptions import LarkError, UnexpectedInput

from threadhill.plans.expr import Compiled, EvalError, compile_expression
from threadhill.plans.faults import Fault, InvalidConfiguration

MAX_FILE_BYTES = 8 << 20  # size limit of one file
MAX_FILES = 1_000


@dataclass(frozen=True, slots=True)
class Attribute:
    """An attribute: `name = expression`."""

    name: str
    line: int
    value: Compiled
    source: Tree


@dataclass(slots=True)
class Block:
    """A block: `kind "label" { ... }`."""

    kind: str
    labels: tuple[str, ...]
    file: str
    line: int
    attributes: dict[str, Attribute] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)

    @property
    def title(self) -> str:
        return ".".join((self.kind, *self.labels))


def read(path: Path, suffix: str = ".hcl") -> list[Block]:
    """The blocks of a file, or of all files of a folder with this suffix, by file name. Raises InvalidConfiguration."""
    files = [path]
    if path.is_dir():
        files = sorted(p for p in path.iterdir() if p.suffix == suffix and p.is_file())
    if not files or len(files) > MAX_FILES:
        raise InvalidConfiguration(
            [Fault(str(path), 0, "", f"holds {len(files)} {suffix} files; 1 to {MAX_FILES} are needed")]
        )
    faults: list[Fault] = []
    blocks: list[Block] = []
    for file in files:
        try:
            if file.stat().st_size > MAX_FILE_BYTES:
                raise ValueError(f"has over {MAX_FILE_BYTES >> 20} MB")
            text = file.read_text("utf-8")
        except (OSError, ValueError) as error:
            faults.append(Fault(str(file), 0, "", getattr(error, "strerror", None) or str(error)))
            continue
        blocks += parse(text, str(file), faults)
    if faults:
        raise InvalidConfiguration(faults)
    return blocks


def parse(text: str, file: str, faults: list[Fault]) -> list[Block]:
    """The blocks of a text; errors are appended to `faults`."""
    body = _parse_tree(text, file, faults)
    if body is None:
        return []
    top = Block("", (), file, 1)
    _read_body(top, body, faults)
    for attribute in top.attributes.values():
        faults.append(Fault(file, attribute.line, attribute.name, "is outside any block"))
    return top.blocks


def parse_values(text: str, file: str, faults: list[Fault]) -> dict[str, Attribute]:
    """The attributes of a file of variables: `name = value` lines."""
    body = _parse_tree(text, file, faults)
    top = Block("", (), file, 1)
    if body is not None:
        _read_body(top, body, faults)
    for block in top.blocks:
        faults.append(Fault(file, block.line, block.title, "a file of variables may contain only `name = value`"))
    return top.attributes


def _parse_tree(text: str, file: str, faults: list[Fault]) -> Tree | None:
    try:
        # The last line of a file may lack its newline.
        return hcl2.parses_to_tree(text + "\n").children[0]
    except UnexpectedInput as error:
        faults.append(Fault(file, max(0, error.line), "", _describe_unexpected(error)))
    except (LarkError, ValueError, RecursionError) as error:
        faults.append(Fault(file, 0, "", f"not HCL: {str(error).splitlines()[0] if str(error) else 'nested too deep'}"))
    return None


def _describe_unexpected(error: UnexpectedInput) -> str:
    token = getattr(error, "token", None)
    if token is None:
        return f"not HCL: unexpected character at column {error.column}"
    if token.type == "$END":
        return "not HCL: the file ends inside a block or an expression: a bracket or quote is missing"
    shown = str(token).strip()[:30] or "the end of the line"
    return f"not HCL: unexpected {shown!r} at column {error.column}"


def _read_body(block: Block, body: Tree, faults: list[Fault]) -> None:
    for child in body.children:
        if not isinstance(child, Tree):
            continue
        if child.data == "attribute":
            _read_attribute(block, child, faults)
        elif child.data == "block":
            inner = _read_block(child, block.file, faults)
            if inner is not None:
                block.blocks.append(inner)


def _read_attribute(block: Block, tree: Tree, faults: list[Fault]) -> None:
    name, value = str(tree.children[0].children[0]), tree.children[2]
    line = tree.children[0].meta.line
    if name in block.attributes:
        faults.append(
            Fault(
                block.file,
                line,
                f"{block.title}.{name}".lstrip("."),
                f"is defined twice, first in line {block.attributes[name].line}",
            )
        )
        return
    try:
        block.attributes[name] = Attribute(name, line, compile_expression(value), value)
    except EvalError as error:
        faults.append(Fault(block.file, error.line or line, f"{block.title}.{name}".lstrip("."), str(error)))


def _read_block(tree: Tree, file: str, faults: list[Fault]) -> Block | None:
    parts = [child for child in tree.children if isinstance(child, Tree) and child.data in ("identifier", "string")]
    labels = []
    for part in parts[1:]:
        try:
            label = compile_expression(part)(None) if part.data == "string" else str(part.children[0])
        except Exception:  # an interpolation: labels are needed before anything is evaluated
            faults.append(Fault(file, tree.meta.line, "", "a label must be plain text, without interpolation"))
            return None
        labels.append(label)
    block = Block(str(parts[0].children[0]), tuple(labels), file, tree.meta.line)
    _read_body(
        block, next(child for child in tree.children if isinstance(child, Tree) and child.data == "body"), faults
    )
    return block
