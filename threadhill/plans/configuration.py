"""A configuration: blocks with variables, locals and `for_each` evaluated into checked resources."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from threadhill import zonefile
from threadhill.decision.hashing import hash_name
from threadhill.documents import MAX_TOTAL_RECORDS
from threadhill.plans.expr import EvalError, Ref, Scope, is_number, kind_of
from threadhill.plans.faults import Fault, InvalidConfiguration
from threadhill.plans.model import KINDS, MODELS, NAME, RESERVED, RequestClass
from threadhill.plans.resource import SERVER_KINDS, Resource
from threadhill.plans.syntax import Attribute, Block

MOST_RESOURCES = 200_000
TYPES = {
    "string": lambda v: isinstance(v, str),
    "number": is_number,
    "bool": lambda v: isinstance(v, bool),
    "list": lambda v: isinstance(v, list),
    "map": lambda v: isinstance(v, dict),
    "any": lambda v: True,
}


@dataclass(slots=True)
class _Instance:
    """A block, or one of those that its `for_each` makes."""

    block: Block
    name: str
    each: dict[str, Any] | None = None


@dataclass(slots=True)
class _Reading:
    """What is known while a configuration is evaluated."""

    faults: list[Fault] = field(default_factory=list)
    variables: dict[str, Any] = field(default_factory=dict)
    local_sources: dict[str, tuple[Attribute, str]] = field(default_factory=dict)
    locals: dict[str, Any] = field(default_factory=dict)
    under_way: list[str] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)  # each with the resource that has it
    named: dict[str, dict[str, Any]] = field(default_factory=lambda: {kind: {} for kind in KINDS})

    def scope(self, each: dict[str, Any] | None = None, resources: bool = True) -> Scope:
        def root(word: str) -> Any:
            if word == "var":
                return self.variables
            if word == "local":
                return _Locals(self)
            if word == "each" and each is not None:
                return each
            if resources and word in self.named:
                return self.named[word]
            raise KeyError(word)

        return Scope(root)

    def fault(self, block: Block, line: int, name: str, text: str) -> None:
        self.faults.append(Fault(block.file, line, name, text))


class _Locals(dict):
    """Locals, each evaluated when it is first asked for, so that their order does not matter."""

    def __init__(self, reading: _Reading) -> None:
        super().__init__()
        self.reading = reading

    def __contains__(self, name: object) -> bool:
        return name in self.reading.local_sources

    def __iter__(self):
        return iter(self.reading.local_sources)

    def __len__(self) -> int:
        return len(self.reading.local_sources)

    def __getitem__(self, name: str) -> Any:
        reading = self.reading
        if name not in reading.locals:
            attribute, _ = reading.local_sources[name]
            if name in reading.under_way:
                loop = " -> ".join([*reading.under_way, name])
                raise EvalError(attribute.line, f"local.{name} needs itself: {loop}")
            reading.under_way.append(name)
            try:
                reading.locals[name] = attribute.value(reading.scope(resources=False))
            finally:
                reading.under_way.pop()
        return reading.locals[name]


def evaluate(blocks: list[Block], given: Mapping[str, Any] | None = None) -> dict[str, Resource]:
    """The resources that the blocks ask for, by id. Raises Invalid with every fault at once."""
    reading = _Reading()
    by_kind: dict[str, list[Block]] = {}
    for block in blocks:
        by_kind.setdefault(block.kind, []).append(block)
        if block.kind not in ("variable", "locals", *KINDS):
            reading.fault(
                block,
                block.line,
                block.title,
                f"no such kind of block; there are variable, locals, " f"{', '.join(KINDS)}",
            )
    _variables(reading, by_kind.get("variable", []), given or {})
    for block in by_kind.get("locals", []):
        for name, attribute in block.attributes.items():
            if name in reading.local_sources:
                reading.fault(block, attribute.line, f"local.{name}", "stands twice")
            reading.local_sources[name] = attribute, block.file
    for name, (attribute, file) in reading.local_sources.items():
        try:
            _Locals(reading)[name]
        except EvalError as error:
            reading.faults.append(Fault(file, error.line or attribute.line, f"local.{name}", str(error)))
    instances = _instances(reading, by_kind)
    resources: dict[str, Resource] = {}
    where: dict[str, tuple[Block, dict[str, int]]] = {}
    for instance in instances:
        resource = _resource(reading, instance)
        if resource is not None:
            resources[resource.id] = resource
            where[resource.id] = instance.block, {n: a.line for n, a in instance.block.attributes.items()}
    _check(reading, resources, where)
    if reading.faults:
        raise InvalidConfiguration(reading.faults)
    return resources


def _variables(reading: _Reading, blocks: list[Block], given: Mapping[str, Any]) -> None:
    known = set()
    for block in blocks:
        if len(block.labels) != 1 or block.blocks:
            reading.fault(block, block.line, block.title, 'must be variable "NAME" { type = ..., default = ... }')
            continue
        name = block.labels[0]
        if name in known:
            reading.fault(block, block.line, block.title, "stands twice")
        known.add(name)
        for word in sorted(set(block.attributes) - {"type", "default", "description"}):
            reading.fault(block, block.attributes[word].line, block.title, f"{word}: no such key")
        try:
            type_name = _type_of(block)
            value = given.get(name)
            if name not in given:
                if "default" not in block.attributes:
                    reading.fault(block, block.line, block.title, f"has no default: give it with -var {name}=VALUE")
                    continue
                value = block.attributes["default"].value(Scope(no_names))
            if isinstance(value, str) and name in given:
                value = _given(value, type_name)
            if not TYPES[type_name](value):
                reading.fault(block, block.line, block.title, f"must be a {type_name}, not a {kind_of(value)}")
            reading.variables[name] = value
        except EvalError as error:
            reading.fault(block, error.line or block.line, block.title, str(error))
    for name in sorted(set(given) - known):
        reading.faults.append(Fault("-var", 0, name, "no such variable"))


def no_names(word: str) -> Any:
    raise KeyError(word)


def _type_of(block: Block) -> str:
    if "type" not in block.attributes:
        return "any"
    attribute = block.attributes["type"]
    scope = Scope(no_names, {name: name for name in TYPES})
    value = attribute.value(scope)
    if value not in TYPES:
        raise EvalError(attribute.line, f"type must be one of {', '.join(TYPES)}")
    return value


def _given(value: str, type_name: str) -> Any:
    """A value from the command line, as its variable's type has it."""
    if type_name == "bool" and value in ("true", "false"):
        return value == "true"
    if type_name == "number":
        try:
            return int(value) if value.lstrip("-").isdigit() else float(value)
        except ValueError:
            return value
    return value


def _instances(reading: _Reading, by_kind: dict[str, list[Block]]) -> list[_Instance]:
    """Blocks by the names that they make; what a reference can name is known once all are."""
    found: list[_Instance] = []
    seen: dict[str, _Instance] = {}

    def add(kind: str, instance: _Instance) -> bool:
        block, id = instance.block, f"{kind}.{instance.name}"
        if not NAME.fullmatch(instance.name) or instance.name in RESERVED.get(kind, ()):
            reading.fault(
                block,
                block.line,
                id,
                "is no name: lower case letters, digits and hyphens, 63 at most, " "and none that is reserved",
            )
            return False
        if id in seen:
            first = seen[id].block
            reading.fault(block, block.line, id, f"stands twice, first at {first.file}:{first.line}")
            return False
        seen[id] = instance
        found.append(instance)
        return True

    for kind in KINDS:
        for block in by_kind.get(kind, []):
            if kind == "settings":
                if block.labels:
                    reading.fault(block, block.line, block.title, "settings has no label")
                    continue
                if kind in reading.named["settings"]:
                    reading.fault(block, block.line, kind, "stands twice: there is one block of settings")
                reading.named["settings"][kind] = Ref(kind, kind)
                found.append(_Instance(block, "settings"))
                continue
            if len(block.labels) != 1:
                reading.fault(block, block.line, block.title, f'must have one name, as in {kind} "NAME" {{')
                continue
            label = block.labels[0]
            if "for_each" not in block.attributes:
                if add(kind, _Instance(block, label)):
                    reading.named[kind][label] = Ref(kind, label)
                continue
            attribute = block.attributes["for_each"]
            try:
                pairs = _each(attribute.value(reading.scope(resources=False)), attribute.line)
            except EvalError as error:
                reading.fault(block, error.line or attribute.line, block.title, f"for_each: {error}")
                continue
            made = {}
            for key, value in pairs.items():
                name = f"{label}-{key}"
                if add(kind, _Instance(block, name, {"key": key, "value": value})):
                    made[key] = Ref(kind, name)
            reading.named[kind][label] = made
            if len(found) > MOST_RESOURCES:
                reading.fault(block, attribute.line, block.title, f"makes over {MOST_RESOURCES} resources")
                return found
    return found


def _each(value: Any, line: int) -> dict[str, Any]:
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        raise EvalError(line, f"must be a list or a map, not a {kind_of(value)}")
    keys = [item if isinstance(item, str) else str(item) if is_number(item) else None for item in value]
    if None in keys or len(set(keys)) < len(keys):
        raise EvalError(line, "must be a list of different strings or numbers")
    return dict(zip(keys, value, strict=True))


def _resource(reading: _Reading, instance: _Instance) -> Resource | None:
    block = instance.block
    id = f"{block.kind}.{instance.name}"
    scope, values, sound = reading.scope(instance.each), {}, True
    for name, attribute in block.attributes.items():
        if name == "for_each":
            continue
        try:
            value = attribute.value(scope)
        except EvalError as error:
            reading.fault(block, error.line or attribute.line, id, f"{name}: {error}")
            sound = False
            continue
        if value is not None:  # null is as good as a key that is not there
            values[name] = value
    for word in ("address", "listen"):
        if isinstance(values.get(word), str):
            other = reading.addresses.setdefault(values[word], id)
            if other != id:
                line = block.attributes[word].line
                reading.fault(block, line, id, f"{word} {values[word]} is {other}'s already")
    classes = _classes(reading, block, scope) if block.kind == "settings" else None
    for inner in block.blocks if block.kind != "settings" else []:
        reading.fault(block, inner.line, id, f"{inner.kind}: no block may stand in a {block.kind}")
    attrs = _checked(reading, block, id, MODELS[block.kind], values, scope if sound else None)
    if attrs is None:
        return None
    if classes is not None:
        attrs["classes"] = classes
    if attrs.get("records") == []:  # what is recorded of tenants without any stays as it was before there were some
        del attrs["records"]
    elif "records" in attrs:
        attrs["records"] = sorted(attrs["records"])
    return Resource(block.kind, instance.name, attrs)


def _checked(
    reading: _Reading, block: Block, id: str, model: Any, values: dict[str, Any], scope: Scope | None
) -> dict[str, Any] | None:
    """The values through their model; None, with the faults told, where they can't be used."""
    try:
        return dict(vars(model(**values)))  # flat: no model holds another
    except ValidationError as error:
        for fault in error.errors():
            place = ".".join(str(part) for part in fault["loc"])
            word = str(fault["loc"][0]) if fault["loc"] else ""
            if scope is None and word in block.attributes and word not in values:
                continue  # told already: it could not be evaluated
            line = block.attributes[word].line if word in block.attributes else block.line
            text = {"extra_forbidden": "no such key", "missing": "is missing"}.get(fault["type"])
            reading.fault(block, line, id, f"{place}: {text or fault['msg'].removeprefix('Value error, ')}")
        return None


def _classes(reading: _Reading, block: Block, scope: Scope) -> dict[str, dict[str, Any]]:
    made: dict[str, dict[str, Any]] = {}
    for inner in block.blocks:
        if inner.kind != "class" or len(inner.labels) != 1 or not NAME.fullmatch(inner.labels[0]):
            reading.fault(block, inner.line, inner.title, 'only class "NAME" { ... } may stand in settings')
            continue
        id = f"settings.class.{inner.labels[0]}"
        if inner.labels[0] in made:
            reading.fault(block, inner.line, id, "stands twice")
        values = {}
        for name, attribute in inner.attributes.items():
            try:
                values[name] = attribute.value(scope)
            except EvalError as error:
                reading.fault(inner, error.line or attribute.line, id, f"{name}: {error}")
        attrs = _checked(reading, inner, id, RequestClass, values, scope)
        if attrs is not None:
            made[inner.labels[0]] = attrs
    if not made and not any(inner.kind == "class" for inner in block.blocks):
        reading.fault(block, block.line, "settings", 'has no class: at least one class "NAME" { ... } is needed')
    return made


def _check(reading: _Reading, resources: dict[str, Resource], where: dict[str, tuple[Block, dict[str, int]]]) -> None:
    """What concerns several resources: numbers on the wire, zones, what must be there, loops of sources."""

    def fault(id: str, word: str, text: str) -> None:
        block, lines = where[id]
        reading.fault(block, lines.get(word, block.line), id, text)

    numbers: dict[int, str] = {}
    zones: dict[str, str] = {}
    for id, resource in resources.items():
        attrs = resource.attrs
        if resource.kind in SERVER_KINDS:
            # What stands for a server in the module: two names with one number would be taken for one server.
            other = numbers.setdefault(hash_name(resource.name) & 0xFFFFFFFF, id)
            if other != id:
                fault(id, "", f"its name comes to the same number as {other}'s: choose another")
        for zone in attrs.get("zones", ()):
            other = zones.setdefault(zone, id)
            if other != id:
                fault(id, "zones", f"zone {zone} is {other}'s already")
        if "records" in attrs:
            read = [zonefile.read(text) for text in attrs["records"]]
            for _, told in zonefile.check(read, attrs["zones"], resource.name):
                fault(id, "records", told)
    if sum(len(resource.attrs.get("records", ())) for resource in resources.values()) > MAX_TOTAL_RECORDS:
        id = max(
            (id for id, r in resources.items() if "records" in r.attrs),
            key=lambda id: len(resources[id].attrs["records"]),
        )
        fault(id, "records", f"all tenants have over {MAX_TOTAL_RECORDS} static records together, this one the most")
    if any(resource.kind in (*SERVER_KINDS, "proxy", "node") for resource in resources.values()):
        for kind, text in (
            ("settings", "there must be a block of settings"),
            ("library", "there must be a library: everything comes from it"),
        ):
            if not any(resource.kind == kind for resource in resources.values()):
                told = any(f.name.split(".")[0] == kind for f in reading.faults)
                if not told:
                    reading.faults.append(Fault("configuration", 0, kind, text))
    libraries = sorted(id for id, resource in resources.items() if resource.kind == "library")
    if len(libraries) > 1:
        fault(libraries[1], "", f"there is a library already: {libraries[0]}")
    for loop in _loops({id: r.attrs["fills_from"] for id, r in resources.items() if r.kind == "parent"}):
        fault(loop[0], "fills_from", f"fills from itself: {' -> '.join([*loop, loop[0]])}")


def _loops(edges: dict[str, list[str]]) -> list[list[str]]:
    """Every loop once, beginning at its least id. Iterative: chains may be long."""
    state: dict[str, int] = {}
    loops = []
    for start in sorted(edges):
        if start in state:
            continue
        path, stack = [], [(start, iter(edges[start]))]
        state[start] = 1
        path.append(start)
        while stack:
            id, targets = stack[-1]
            target = next((t for t in targets if t in edges), None)
            if target is None:
                stack.pop()
                state[path.pop()] = 2
            elif target not in state:
                state[target] = 1
                path.append(target)
                stack.append((target, iter(edges[target])))
            elif state[target] == 1:
                loop = path[path.index(target) :]
                least = loop.index(min(loop))
                loops.append(loop[least:] + loop[:least])
    return loops
