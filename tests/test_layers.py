"""Imports lead one way, and what is off is not loaded: the platform's memory is small."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

from tests.world import ROOT

# From the decision module up to the command line; a part imports only those before it (and itself).
ORDER = (
    "decision",
    "hostnames",
    "zonefile",
    "cli_codes",
    "settings",
    "files",
    "stats",
    "log",
    "core",
    "documents",
    "tenancy",
    "overload",
    "knowledge",
    "ownership",
    "recovery",
    "net",
    "dns",
    "admin",
    "config",
    "simhost",
    "operators",
    "serve",
    "plans",
    "control",
    "standin",
    "drills",
    "cli",
    "__main__",
)


def imports(path: Path) -> set[str]:
    """The parts of the program that a file imports, wherever in it."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        if isinstance(node, ast.ImportFrom) and node.module == "threadhill":
            names = [f"threadhill.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        found |= {name.split(".")[1] for name in names if name.startswith("threadhill.")}
    return found - {"__version__"}


def test_imports_lead_one_way() -> None:
    for path in (ROOT / "threadhill").rglob("*.py"):
        part = path.relative_to(ROOT / "threadhill").parts[0].removesuffix(".py")
        if part == "__init__":
            continue
        above = {name for name in imports(path) if ORDER.index(name) > ORDER.index(part)}
        assert not above, f"{path} imports {above}"


def test_the_platforms_start_loads_nothing_that_is_off() -> None:
    code = (
        "import sys, threadhill.cli, threadhill.serve\n"
        "print(*sorted({m for m in sys.modules if m.split('.')[0] in "
        "('pydantic', 'hcl2', 'structlog', 'cryptography', 'prometheus_client', 'jinja2', 'sqlite3') or "
        "m.split('.')[:2] in (['threadhill', p] for p in "
        "('admin', 'dns', 'operators', 'overload', 'knowledge', 'recovery', 'ownership', 'tenancy', 'plans', "
        "'control'))}))"
    )
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    assert not out.split()
