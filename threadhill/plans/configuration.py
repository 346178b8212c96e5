"""Evaluates the blocks of a configuration (variables, locals, `for_each`) into validated resources."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from threadhill import zonefile
from threadhill.decision.hashing import hash_name
from threadhill.documents import MAX_TOTAL_RECORDS
from threadhill.plans.expr import EvalError, Ref, Scope, describe_type, is_number
from threadhill.plans.faults import Fault, InvalidConfiguration
from threadhill.plans.model import KINDS, MODELS, NAME_PATTERN, RESERVED, RequestClass
from threadhill.plans.resource import SERVER_KINDS, Resource
from threadhill.plans.syntax import Attribute, Block

MAX_RESOURCES = 200_000
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
    """A block, or one of the instances that its `for_each` produces."""

    block: Block
    name: str
    each: dict[str, Any] | None = None


@dataclass(slots=True)
class _Evaluation:
    """The state of an evaluation."""

    faults: list[Fault] = field(default_factory=list)
    variables: dict[str, Any] = field(default_factory=dict)
    local_sources: dict[str, tuple[Attribute, str]] = field(default_factory=dict)
    locals: dict[str, Any] = field(default_factory=dict)
    under_way: list[str] = field(default_factory=list)  # names of the locals that are being evaluated
    addresses: dict[str, str] = field(default_factory=dict)  # address -> id of the resource that has it
    references: dict[str, dict[str, Any]] = field(default_factory=lambda: {kind: {} for kind in KINDS})

    def scope(self, each: dict[str, Any] | None = None, resources: bool = True) -> Scope:
        def root(name: str) -> Any:
            if name == "var":
                return self.variables
            if name == "local":
                return _Locals(self)
            if name == "each" and each is not None:
                return each
            if resources and name in self.references:
                return self.references[name]
            raise KeyError(name)

        return Scope(root)

    def fault(self, block: Block, line: int, name: str, text: str) -> None:
        self.faults.append(Fault(block.file, line, name, text))


class _Locals(dict):
    """Locals, each evaluated on first use, so that their order does not matter."""

    def __init__(self, evaluation: _Evaluation) -> None:
        super().__init__()
        self.evaluation = evaluation

    def __contains__(self, name: object) -> bool:
        return name in self.evaluation.local_sources

    def __iter__(self):
        return iter(self.evaluation.local_sources)

    def __len__(self) -> int:
        return len(self.evaluation.local_sources)

    def __getitem__(self, name: str) -> Any:
        evaluation = self.evaluation
        if name not in evaluation.locals:
            attribute, _ = evaluation.local_sources[name]
            if name in evaluation.under_way:
                cycle = " -> ".join([*evaluation.under_way, name])
                raise EvalError(attribute.line, f"local.{name} refers to itself: {cycle}")
            evaluation.under_way.append(name)
            try:
                evaluation.locals[name] = attribute.value(evaluation.scope(resources=False))
            finally:
                evaluation.under_way.pop()
        return evaluation.locals[name]


def evaluate(blocks: list[Block], given: Mapping[str, Any] | None = None) -> dict[str, Resource]:
    """The resources that the blocks describe, by id. Raises InvalidConfiguration with all faults at once."""
    evaluation = _Evaluation()
    by_kind: dict[str, list[Block]] = {}
    for block in blocks:
        by_kind.setdefault(block.kind, []).append(block)
        if block.kind not in ("variable", "locals", *KINDS):
            evaluation.fault(
                block,
                block.line,
                block.title,
                f"no such kind of block; the kinds are variable, locals, " f"{', '.join(KINDS)}",
            )
    _variables(evaluation, by_kind.get("variable", []), given or {})
    for block in by_kind.get("locals", []):
        for name, attribute in block.attributes.items():
            if name in evaluation.local_sources:
                evaluation.fault(block, attribute.line, f"local.{name}", "is defined twice")
            evaluation.local_sources[name] = attribute, block.file
    for name, (attribute, file) in evaluation.local_sources.items():
        try:
            _Locals(evaluation)[name]
        except EvalError as error:
            evaluation.faults.append(Fault(file, error.line or attribute.line, f"local.{name}", str(error)))
    instances = _instances(evaluation, by_kind)
    resources: dict[str, Resource] = {}
    positions: dict[str, tuple[Block, dict[str, int]]] = {}
    for instance in instances:
        resource = _resource(evaluation, instance)
        if resource is not None:
            resources[resource.id] = resource
            positions[resource.id] = instance.block, {n: a.line for n, a in instance.block.attributes.items()}
    _check_across(evaluation, resources, positions)
    if evaluation.faults:
        raise InvalidConfiguration(evaluation.faults)
    return resources


def _variables(evaluation: _Evaluation, blocks: list[Block], given: Mapping[str, Any]) -> None:
    known = set()
    for block in blocks:
        if len(block.labels) != 1 or block.blocks:
            evaluation.fault(block, block.line, block.title, 'must be variable "NAME" { type = ..., default = ... }')
            continue
        name = block.labels[0]
        if name in known:
            evaluation.fault(block, block.line, block.title, "is defined twice")
        known.add(name)
        for key in sorted(set(block.attributes) - {"type", "default", "description"}):
            evaluation.fault(block, block.attributes[key].line, block.title, f"{key}: no such key")
        try:
            type_name = _type_of(block)
            value = given.get(name)
            if name not in given:
                if "default" not in block.attributes:
                    evaluation.fault(block, block.line, block.title, f"has no default: set it with -var {name}=VALUE")
                    continue
                value = block.attributes["default"].value(Scope(no_names))
            if isinstance(value, str) and name in given:
                value = _convert_given(value, type_name)
            if not TYPES[type_name](value):
                evaluation.fault(block, block.line, block.title, f"must be a {type_name}, not a {describe_type(value)}")
            evaluation.variables[name] = value
        except EvalError as error:
            evaluation.fault(block, error.line or block.line, block.title, str(error))
    for name in sorted(set(given) - known):
        evaluation.faults.append(Fault("-var", 0, name, "no such variable"))


def no_names(name: str) -> Any:
    raise KeyError(name)


def _type_of(block: Block) -> str:
    if "type" not in block.attributes:
        return "any"
    attribute = block.attributes["type"]
    scope = Scope(no_names, {name: name for name in TYPES})
    value = attribute.value(scope)
    if value not in TYPES:
        raise EvalError(attribute.line, f"type must be one of {', '.join(TYPES)}")
    return value


def _convert_given(value: str, type_name: str) -> Any:
    """Converts a value from the command line to its variable's type; unconvertible text is returned as it is."""
    if type_name == "bool" and value in ("true", "false"):
        return value == "true"
    if type_name == "number":
        try:
            return int(value) if value.lstrip("-").isdigit() else float(value)
        except ValueError:
            return value
    return value


def _instances(evaluation: _Evaluation, by_kind: dict[str, list[Block]]) -> list[_Instance]:
    """The instances of all blocks; also fills in what references can name, before any resource is evaluated."""
    found: list[_Instance] = []
    seen: dict[str, _Instance] = {}

    def add(kind: str, instance: _Instance) -> bool:
        block, id = instance.block, f"{kind}.{instance.name}"
        if not NAME_PATTERN.fullmatch(instance.name) or instance.name in RESERVED.get(kind, ()):
            evaluation.fault(
                block,
                block.line,
                id,
                "is not a valid name: lower case letters, digits and hyphens, 63 at most, " "and not a reserved name",
            )
            return False
        if id in seen:
            first = seen[id].block
            evaluation.fault(block, block.line, id, f"is defined twice, first at {first.file}:{first.line}")
            return False
        seen[id] = instance
        found.append(instance)
        return True

    for kind in KINDS:
        for block in by_kind.get(kind, []):
            if kind == "settings":
                if block.labels:
                    evaluation.fault(block, block.line, block.title, "settings must have no label")
                    continue
                if kind in evaluation.references["settings"]:
                    evaluation.fault(block, block.line, kind, "is defined twice: only one settings block is allowed")
                evaluation.references["settings"][kind] = Ref(kind, kind)
                found.append(_Instance(block, "settings"))
                continue
            if len(block.labels) != 1:
                evaluation.fault(block, block.line, block.title, f'must have one label, as in {kind} "NAME" {{')
                continue
            label = block.labels[0]
            if "for_each" not in block.attributes:
                if add(kind, _Instance(block, label)):
                    evaluation.references[kind][label] = Ref(kind, label)
                continue
            attribute = block.attributes["for_each"]
            try:
                pairs = _each_pairs(attribute.value(evaluation.scope(resources=False)), attribute.line)
            except EvalError as error:
                evaluation.fault(block, error.line or attribute.line, block.title, f"for_each: {error}")
                continue
            result = {}
            for key, value in pairs.items():
                name = f"{label}-{key}"
                if add(kind, _Instance(block, name, {"key": key, "value": value})):
                    result[key] = Ref(kind, name)
            evaluation.references[kind][label] = result
            if len(found) > MAX_RESOURCES:
                evaluation.fault(block, attribute.line, block.title, f"makes over {MAX_RESOURCES} resources")
                return found
    return found


def _each_pairs(value: Any, line: int) -> dict[str, Any]:
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        raise EvalError(line, f"must be a list or a map, not a {describe_type(value)}")
    keys = [item if isinstance(item, str) else str(item) if is_number(item) else None for item in value]
    if None in keys or len(set(keys)) < len(keys):
        raise EvalError(line, "must be a list of distinct strings or numbers")
    return dict(zip(keys, value, strict=True))


def _resource(evaluation: _Evaluation, instance: _Instance) -> Resource | None:
    block = instance.block
    id = f"{block.kind}.{instance.name}"
    scope, values, all_evaluated = evaluation.scope(instance.each), {}, True
    for name, attribute in block.attributes.items():
        if name == "for_each":
            continue
        try:
            value = attribute.value(scope)
        except EvalError as error:
            evaluation.fault(block, error.line or attribute.line, id, f"{name}: {error}")
            all_evaluated = False
            continue
        if value is not None:  # null is treated as a missing key
            values[name] = value
    for key in ("address", "listen"):
        if isinstance(values.get(key), str):
            other = evaluation.addresses.setdefault(values[key], id)
            if other != id:
                line = block.attributes[key].line
                evaluation.fault(block, line, id, f"{key} {values[key]} is already used by {other}")
    classes = _classes(evaluation, block, scope) if block.kind == "settings" else None
    for inner in block.blocks if block.kind != "settings" else []:
        evaluation.fault(block, inner.line, id, f"{inner.kind}: a {block.kind} must not contain blocks")
    attrs = _validated(evaluation, block, id, MODELS[block.kind], values, scope if all_evaluated else None)
    if attrs is None:
        return None
    if classes is not None:
        attrs["classes"] = classes
    if attrs.get("records") == []:  # keeps the recorded form of tenants from versions without records
        del attrs["records"]
    elif "records" in attrs:
        attrs["records"] = sorted(attrs["records"])
    return Resource(block.kind, instance.name, attrs)


def _validated(
    evaluation: _Evaluation, block: Block, id: str, model: Any, values: dict[str, Any], scope: Scope | None
) -> dict[str, Any] | None:
    """The values validated by their model; None, with the faults recorded, if they are invalid."""
    try:
        return dict(vars(model(**values)))  # shallow is enough: no model contains another
    except ValidationError as error:
        for fault in error.errors():
            place = ".".join(str(part) for part in fault["loc"])
            key = str(fault["loc"][0]) if fault["loc"] else ""
            if scope is None and key in block.attributes and key not in values:
                continue  # reported already: it could not be evaluated
            line = block.attributes[key].line if key in block.attributes else block.line
            text = {"extra_forbidden": "no such key", "missing": "is missing"}.get(fault["type"])
            evaluation.fault(block, line, id, f"{place}: {text or fault['msg'].removeprefix('Value error, ')}")
        return None


def _classes(evaluation: _Evaluation, block: Block, scope: Scope) -> dict[str, dict[str, Any]]:
    result: dict[str, dict[str, Any]] = {}
    for inner in block.blocks:
        if inner.kind != "class" or len(inner.labels) != 1 or not NAME_PATTERN.fullmatch(inner.labels[0]):
            evaluation.fault(block, inner.line, inner.title, 'settings may contain only blocks class "NAME" { ... }')
            continue
        id = f"settings.class.{inner.labels[0]}"
        if inner.labels[0] in result:
            evaluation.fault(block, inner.line, id, "is defined twice")
        values = {}
        for name, attribute in inner.attributes.items():
            try:
                values[name] = attribute.value(scope)
            except EvalError as error:
                evaluation.fault(inner, error.line or attribute.line, id, f"{name}: {error}")
        attrs = _validated(evaluation, inner, id, RequestClass, values, scope)
        if attrs is not None:
            result[inner.labels[0]] = attrs
    if not result and not any(inner.kind == "class" for inner in block.blocks):
        evaluation.fault(block, block.line, "settings", 'must have at least one class "NAME" { ... }')
    return result


def _check_across(
    evaluation: _Evaluation, resources: dict[str, Resource], positions: dict[str, tuple[Block, dict[str, int]]]
) -> None:
    """Checks across resources: unique server numbers and zones, required resources, cycles of sources."""

    def fault(id: str, key: str, text: str) -> None:
        block, lines = positions[id]
        evaluation.fault(block, lines.get(key, block.line), id, text)

    numbers: dict[int, str] = {}
    zones: dict[str, str] = {}
    for id, resource in resources.items():
        attrs = resource.attrs
        if resource.kind in SERVER_KINDS:
            # The decision module identifies a server by this number: two names with one number would be one server.
            other = numbers.setdefault(hash_name(resource.name) & 0xFFFFFFFF, id)
            if other != id:
                fault(id, "", f"its name hashes to the same number as that of {other}: choose another")
        for zone in attrs.get("zones", ()):
            other = zones.setdefault(zone, id)
            if other != id:
                fault(id, "zones", f"zone {zone} is already used by {other}")
        if "records" in attrs:
            read = [zonefile.parse_record(text) for text in attrs["records"]]
            for _, message in zonefile.check_records(read, attrs["zones"], resource.name):
                fault(id, "records", message)
    if sum(len(resource.attrs.get("records", ())) for resource in resources.values()) > MAX_TOTAL_RECORDS:
        id = max(
            (id for id, r in resources.items() if "records" in r.attrs),
            key=lambda id: len(resources[id].attrs["records"]),
        )
        fault(id, "records", f"all tenants together have over {MAX_TOTAL_RECORDS} static records, this one the most")
    if any(resource.kind in (*SERVER_KINDS, "proxy", "node") for resource in resources.values()):
        for kind, text in (
            ("settings", "there must be a settings block"),
            ("library", "there must be a library: it is the origin of all objects"),
        ):
            if not any(resource.kind == kind for resource in resources.values()):
                reported = any(f.name.split(".")[0] == kind for f in evaluation.faults)
                if not reported:
                    evaluation.faults.append(Fault("configuration", 0, kind, text))
    libraries = sorted(id for id, resource in resources.items() if resource.kind == "library")
    if len(libraries) > 1:
        fault(libraries[1], "", f"only one library is allowed, and there is {libraries[0]} already")
    for cycle in _cycles({id: r.attrs["fills_from"] for id, r in resources.items() if r.kind == "parent"}):
        fault(cycle[0], "fills_from", f"fills from itself: {' -> '.join([*cycle, cycle[0]])}")


def _cycles(edges: dict[str, list[str]]) -> list[list[str]]:
    """Every cycle once, starting with its smallest id. Iterative, since a chain may exceed the recursion limit."""
    state: dict[str, int] = {}
    cycles = []
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
                cycle = path[path.index(target) :]
                least = cycle.index(min(cycle))
                cycles.append(cycle[least:] + cycle[:least])
    return cycles
