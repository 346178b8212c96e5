"""HCL expressions: compiled once into closures, evaluated in a scope. Anything not listed here is an error.

Supported: numbers, strings with `${}`, heredocs without it, booleans, null, lists, maps, `for` in both, `?:`,
arithmetic, comparison and logical operators, attributes and indices, and the functions of `FUNCTIONS`. Not supported:
splats, template directives, and argument expansion; docs/control.md has the table.
"""

from __future__ import annotations

import math
import re
import textwrap
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lark import Token, Tree

MAX_ITEMS = 200_000  # of one list: a mistake in a range must not exhaust the memory
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}
ESCAPE = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)", re.S)
HEREDOC = re.compile(r"<<-?(\w+)\r?\n(.*)\n[ \t]*\1\s*\Z", re.S)
FORMAT_VERB = re.compile(r"%(?:(%)|(0?)(\d*)([sdvfx]))")
IGNORED_TREES = {"new_line_or_comment"}


class EvalError(Exception):
    """An expression cannot be compiled or evaluated; `line` is its line in the file."""

    def __init__(self, line: int, text: str) -> None:
        super().__init__(text)
        self.line = line


@dataclass(frozen=True, slots=True)
class Ref:
    """A reference to a resource."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}.{self.name}"


@dataclass(slots=True)
class Scope:
    """The values of names. `roots` resolves the first word of a reference, or raises KeyError."""

    roots: Callable[[str], Any]
    names: dict[str, Any] = field(default_factory=dict)

    def with_names(self, names: dict[str, Any]) -> Scope:
        return Scope(self.roots, {**self.names, **names})


Compiled = Callable[[Scope], Any]


def compile_expression(tree: Tree | Token) -> Compiled:
    """Compiles the tree into a closure. Raises EvalError if it is not supported."""
    if isinstance(tree, Token):
        raise EvalError(tree.line or 0, f"`{tree}` is not supported here")
    compiler = COMPILERS.get(tree.data)
    if compiler is None:
        raise EvalError(_line(tree), f"{str(tree.data).replace('_', ' ')} is not supported")
    return compiler(tree)


def is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _line(tree: Tree) -> int:
    return getattr(tree.meta, "line", 0) or 0


def _parts(tree: Tree) -> list[Tree]:
    """The sub-trees without line breaks and comments."""
    return [child for child in tree.children if isinstance(child, Tree) and child.data not in IGNORED_TREES]


def _identifier(tree: Tree) -> str:
    return str(tree.children[0])


def _text(value: Any, line: int) -> str:
    """The value as text, for use in a string."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return value
    if isinstance(value, float) and value == int(value):
        return str(int(value))
    if is_number(value):
        return str(value)
    if isinstance(value, Ref):
        return value.name
    raise EvalError(line, f"a {describe_type(value)} can't be converted to a string")


def describe_type(value: Any) -> str:
    """The name of the value's type for messages."""
    if value is None:
        return "null"
    for types, name in ((bool, "boolean"), ((int, float), "number"), (str, "string"), (list, "list"), (dict, "map")):
        if isinstance(value, types):
            return name
    return "reference"


def _escaped(raw: str, line: int) -> str:
    def one(match: re.Match[str]) -> str:
        code = match[1]
        if code[0] in "uU" and len(code) > 1:
            return chr(int(code[1:], 16))
        if code not in ESCAPES:
            raise EvalError(line, f"\\{code} is not a valid escape sequence")
        return ESCAPES[code]

    return ESCAPE.sub(one, raw)


# --- compilers, one for each kind of tree


def _term(tree: Tree) -> Compiled:
    (inner,) = _parts(tree)
    return compile_expression(inner)


def _name(tree: Tree) -> Compiled:
    word, line = _identifier(tree), _line(tree)

    def get(scope: Scope) -> Any:
        if word in scope.names:
            return scope.names[word]
        try:
            return scope.roots(word)
        except KeyError:
            raise EvalError(line, f"there is no `{word}`: put text in quotes, name a resource as kind.name") from None

    return get


def _literal(value: Any) -> Compiled:
    return lambda scope: value


def _string(tree: Tree) -> Compiled:
    line = _line(tree)
    pieces: list[str | Compiled] = []
    for part in _parts(tree):
        (inner,) = part.children
        if isinstance(inner, Token):
            text = str(inner)
            pieces.append(text[1:] if inner.type.startswith("ESCAPED") else _escaped(text, line))
        elif inner.data == "interpolation":
            (sub,) = _parts(inner)
            pieces.append(compile_expression(sub))
        else:
            raise EvalError(line, "template directives (%{...}) are not supported")
    if all(isinstance(piece, str) for piece in pieces):
        return _literal("".join(pieces))
    return lambda scope: "".join(p if isinstance(p, str) else _text(p(scope), line) for p in pieces)


def _heredoc(tree: Tree) -> Compiled:
    match = HEREDOC.match(str(tree.children[0]))
    if match is None or "${" in match[2] or "%{" in match[2]:
        raise EvalError(_line(tree), "a heredoc must be plain text: ${ and %{ are not supported in it")
    body = match[2] + "\n"
    return _literal(textwrap.dedent(body) if tree.data.endswith("trim") else body)


def _list(tree: Tree) -> Compiled:
    items = [compile_expression(part) for part in _parts(tree)]
    return lambda scope: [item(scope) for item in items]


def _map(tree: Tree) -> Compiled:
    pairs = []
    for element in _parts(tree):
        key, value = _parts(element)
        (inner,) = _parts(key)
        plain = inner.data == "expr_term" and len(inner.children) == 1 and inner.children[0].data == "identifier"
        name = _literal(_identifier(inner.children[0])) if plain else compile_expression(inner)
        pairs.append((name, compile_expression(value), _line(element)))

    def make(scope: Scope) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key, value, line in pairs:
            word = _text(key(scope), line)
            if word in result:
                raise EvalError(line, f"the key {word!r} is defined twice")
            result[word] = value(scope)
        return result

    return make


def _call(tree: Tree) -> Compiled:
    line, parts = _line(tree), _parts(tree)
    name = _identifier(parts[0])
    function = FUNCTIONS.get(name)
    if function is None:
        raise EvalError(line, f"there is no function `{name}`; there are {', '.join(sorted(FUNCTIONS))}")
    arguments = parts[1] if len(parts) > 1 else None
    if arguments is not None and any(isinstance(c, Token) and c.type == "ELLIPSIS" for c in arguments.children):
        raise EvalError(line, "argument expansion (...) is not supported")
    given = [compile_expression(part) for part in _parts(arguments)] if arguments is not None else []

    def call(scope: Scope) -> Any:
        values = [value(scope) for value in given]
        try:
            return function(*values)
        except EvalError:
            raise
        except (TypeError, ValueError, KeyError, IndexError, AttributeError, OverflowError) as error:
            raise EvalError(line, f"{name}: {error}") from None

    return call


def _look_up(value: Any, key: Any, line: int) -> Any:
    if isinstance(value, Ref) and key in ("name", "kind"):
        return getattr(value, key)
    if isinstance(value, dict):
        word = _text(key, line)
        if word in value:
            return value[word]
        known = f"; there are {', '.join(sorted(value)[:8])}" if value else ""
        raise EvalError(line, f"there is no {word!r}{known}")
    if isinstance(value, list) and is_number(key) and key == int(key):
        if 0 <= key < len(value):
            return value[int(key)]
        raise EvalError(line, f"there is no item {int(key)} in a list of {len(value)}")
    raise EvalError(line, f"a {describe_type(value)} has no {key!r}")


def _attribute(tree: Tree) -> Compiled:
    operand, attribute = _parts(tree)
    inner, word, line = compile_expression(operand), _identifier(_parts(attribute)[0]), _line(tree)
    return lambda scope: _look_up(inner(scope), word, line)


def _index(tree: Tree) -> Compiled:
    operand, index = _parts(tree)
    inner, line = compile_expression(operand), _line(tree)
    if index.data == "short_index":
        number = int(index.children[-1])
        return lambda scope: _look_up(inner(scope), number, line)
    key = compile_expression(_parts(index)[0])
    return lambda scope: _look_up(inner(scope), key(scope), line)


def _conditional(tree: Tree) -> Compiled:
    line = _line(tree)
    condition, yes, no = (compile_expression(part) for part in _parts(tree))
    return lambda scope: yes(scope) if _boolean(condition(scope), line) else no(scope)


def _boolean(value: Any, line: int) -> bool:
    if not isinstance(value, bool):
        raise EvalError(line, f"must be true or false, not a {describe_type(value)}")
    return value


def _unary(tree: Tree) -> Compiled:
    line, sign = _line(tree), str(tree.children[0])
    inner = compile_expression(_parts(tree)[0])
    if sign == "!":
        return lambda scope: not _boolean(inner(scope), line)
    return lambda scope: -_numeric(inner(scope), line)


def _numeric(value: Any, line: int) -> float:
    if not is_number(value):
        raise EvalError(line, f"must be a number, not a {describe_type(value)}")
    return value


def _binary(tree: Tree) -> Compiled:
    left_tree, term = _parts(tree)
    operator, right_tree = _parts(term)
    sign, line = str(operator.children[0]).strip(), _line(tree)
    left, right = compile_expression(left_tree), compile_expression(right_tree)
    if sign == "&&":
        return lambda scope: _boolean(left(scope), line) and _boolean(right(scope), line)
    if sign == "||":
        return lambda scope: _boolean(left(scope), line) or _boolean(right(scope), line)
    if sign in ("==", "!="):
        return lambda scope: (_same(left(scope), right(scope))) == (sign == "==")
    operation = ARITHMETIC.get(sign)
    if operation is None:
        raise EvalError(line, f"the operator {sign} is not supported")

    def calculate(scope: Scope) -> Any:
        try:
            value = operation(_numeric(left(scope), line), _numeric(right(scope), line))
        except (ZeroDivisionError, OverflowError) as error:
            raise EvalError(line, str(error)) from None
        return int(value) if isinstance(value, float) and value.is_integer() and abs(value) < 1e15 else value

    return calculate


def _same(a: Any, b: Any) -> bool:
    return a == b and isinstance(a, bool) == isinstance(b, bool)


def _pairs(value: Any, line: int) -> Iterable[tuple[Any, Any]]:
    if isinstance(value, dict):
        return value.items()
    if isinstance(value, list):
        return enumerate(value)
    raise EvalError(line, f"for iterates over a list or a map, not a {describe_type(value)}")


def _for(tree: Tree) -> Compiled:
    line, parts = _line(tree), _parts(tree)
    words = [_identifier(part) for part in _parts(parts[0]) if part.data == "identifier"]
    over = compile_expression([part for part in _parts(parts[0]) if part.data != "identifier"][0])
    conditions = [compile_expression(_parts(part)[0]) for part in parts[1:] if part.data == "for_cond"]
    results = [compile_expression(part) for part in parts[1:] if part.data != "for_cond"]

    def iterations(scope: Scope) -> Iterable[Scope]:
        for key, value in _pairs(over(scope), line):
            inner = scope.with_names(dict(zip(words, (key, value) if len(words) == 2 else (value,), strict=True)))
            if all(_boolean(condition(inner), line) for condition in conditions):
                yield inner

    if tree.data == "for_tuple_expr":
        return lambda scope: [results[0](inner) for inner in iterations(scope)]
    if any(isinstance(child, Token) and child.type == "ELLIPSIS" for child in tree.children):
        raise EvalError(line, "grouping (...) is not supported")

    def make(scope: Scope) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for inner in iterations(scope):
            key = _text(results[0](inner), line)
            if key in result:
                raise EvalError(line, f"the key {key!r} comes twice")
            result[key] = results[1](inner)
        return result

    return make


ARITHMETIC: dict[str, Callable[[Any, Any], Any]] = {
    "+": lambda a, b: a + b,
    "-": lambda a, b: a - b,
    "*": lambda a, b: a * b,
    "/": lambda a, b: a / b,
    "%": lambda a, b: math.fmod(a, b) if a < 0 or b < 0 else a % b,
    "<": lambda a, b: a < b,
    ">": lambda a, b: a > b,
    "<=": lambda a, b: a <= b,
    ">=": lambda a, b: a >= b,
}

COMPILERS: dict[str, Callable[[Tree], Compiled]] = {
    "expr_term": _term,
    "identifier": _name,
    "string": _string,
    "tuple": _list,
    "object": _map,
    "int_lit": lambda tree: _literal(int(tree.children[0])),
    "float_lit": lambda tree: _literal(float(tree.children[0])),
    "literal_value": lambda tree: _literal({"true": True, "false": False, "null": None}[str(tree.children[0])]),
    "heredoc_template": _heredoc,
    "heredoc_template_trim": _heredoc,
    "function_call": _call,
    "get_attr_expr_term": _attribute,
    "index_expr_term": _index,
    "conditional": _conditional,
    "unary_op": _unary,
    "binary_op": _binary,
    "for_tuple_expr": _for,
    "for_object_expr": _for,
}


# --- functions


def _range(*bounds: Any) -> list[Any]:
    if not all(isinstance(b, int) and not isinstance(b, bool) for b in bounds):
        raise ValueError("takes only whole numbers")
    items = range(*bounds)
    if len(items) > MAX_ITEMS:
        raise ValueError(f"makes over {MAX_ITEMS} items")
    return list(items)


def _format(text: str, *values: Any) -> str:
    remaining = list(values)

    def one(match: re.Match[str]) -> str:
        if match[1]:
            return "%"
        if not remaining:
            raise ValueError("has too few values")
        value, (zero, width, verb) = remaining.pop(0), match.group(2, 3, 4)
        if width and int(width) > 64:
            raise ValueError("has a width over 64")
        if verb in "sv":
            shown = _text(value, 0)
        elif not is_number(value) or (verb in "dx" and value != int(value)):
            raise ValueError(f"%{verb} takes a number, not {value!r}")
        else:
            shown = f"{value:f}" if verb == "f" else f"{int(value):{verb}}"
        return shown.rjust(int(width or 0), "0" if zero else " ")

    result = FORMAT_VERB.sub(one, text)
    if remaining:
        raise ValueError("has too many values")
    return result


def _unique(values: Iterable[Any]) -> list[Any]:
    seen: list[Any] = []
    known: set[Any] = set()
    for value in values:
        if value not in known:
            known.add(value)
            seen.append(value)
    return seen


def _set(value: list[Any]) -> list[str]:
    return sorted(_unique(_text(item, 0) for item in value))


def _lookup(table: dict[str, Any], key: str, *default: Any) -> Any:
    if key not in table and not default:
        raise ValueError(f"there is no {key!r}")
    return table.get(key, *default)


def _merge(*maps: dict[str, Any]) -> dict[str, Any]:
    return {key: value for one in maps for key, value in one.items()}


def _flatten(value: list[Any]) -> list[Any]:
    return [inner for item in value for inner in (_flatten(item) if isinstance(item, list) else [item])]


def _number(value: Any) -> Any:
    if is_number(value):
        return value
    return int(value) if re.fullmatch(r"-?\d{1,15}", value) else float(value)


FUNCTIONS: dict[str, Callable[..., Any]] = {
    "abs": abs,
    "ceil": math.ceil,
    "floor": math.floor,
    "max": max,
    "min": min,
    "concat": lambda *lists: [item for one in lists for item in one],
    "contains": lambda value, item: item in value,
    "distinct": _unique,
    "element": lambda value, i: value[i % len(value)],
    "flatten": _flatten,
    "format": _format,
    "join": lambda by, value: by.join(_text(item, 0) for item in value),
    "keys": lambda table: sorted(table),
    "length": len,
    "lookup": _lookup,
    "lower": lambda text: text.lower(),
    "merge": _merge,
    "range": _range,
    "replace": lambda text, old, new: text.replace(old, new),
    "reverse": lambda value: value[::-1],
    "sort": sorted,
    "split": lambda by, text: text.split(by),
    "tonumber": _number,
    "toset": _set,
    "tostring": lambda value: _text(value, 0),
    "upper": lambda text: text.upper(),
    "values": lambda table: [table[key] for key in sorted(table)],
    "zipmap": lambda names, values: dict(zip(names, values, strict=True)),
}
