"""Imports follow the order of the layers, and disabled features are not loaded, to save memory."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

from tests.harness import ROOT

# From the decision module up to the command line. A part may import only itself and those before it.
LAYERS = (
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
    """The parts of the program that a file imports anywhere."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        if isinstance(node, ast.ImportFrom) and node.module == "threadhill":
            names = [f"threadhill.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        found |= {name.split(".")[1] for name in names if name.startswith("threadhill.")}
    return found - {"__version__"}


def test_imports_follow_the_order_of_the_layers() -> None:
    for path in (ROOT / "threadhill").rglob("*.py"):
        part = path.relative_to(ROOT / "threadhill").parts[0].removesuffix(".py")
        if part == "__init__":
            continue
        above = {name for name in imports(path) if LAYERS.index(name) > LAYERS.index(part)}
        assert not above, f"{path} imports {above}"


def test_a_start_without_an_operators_file_loads_no_optional_parts() -> None:
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
