"""The deploy file's `run` command, started like the platform does: by /bin/sh from the root, as a single process."""

from __future__ import annotations

import asyncio
import os
import tomllib
from pathlib import Path

import pytest

from tests.harness import ROOT, ProxyHarness, until
from tests.test_proxy import run_scenario

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def children(pid: int) -> list[int]:
    """Processes whose parent is this one."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                stat = (entry / "stat").read_text()
            except OSError:
                continue
            if int(stat.rpartition(")")[2].split()[1]) == pid:
                found.append(int(entry.name))
    return found


@pytest.mark.skipif(not (ROOT / ".venv").exists(), reason="`build` has not been run in this checkout")
def test_run_as_written_is_one_process_with_threads_and_serves(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        w.process.kill()  # replace the harness's process by the deploy file's
        await w.process.wait()
        w.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            DEPLOY["run"],
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(w.folder / "config.json"), "TMPDIR": str(w.folder)},
        )
        w.log = ""
        w.reading = asyncio.ensure_future(w._read_log())
        w.port = await w.listening_port("n0")
        exe = os.readlink(f"/proc/{w.process.pid}/exe")  # the shell was replaced by exec
        assert "python" in Path(exe).name and not children(w.process.pid)
        assert len(os.listdir(f"/proc/{w.process.pid}/task")) >= 1
        maps = Path(f"/proc/{w.process.pid}/maps").read_text()
        assert "libc.so" in maps  # linked against the C library, dynamically
        client = await w.client()
        assert (await client.get())[0] == "200"
        await until(lambda: not children(w.process.pid), "no other process")

    run_scenario(tmp_path, scenario)


def test_the_deploy_file_names_what_the_platform_needs() -> None:
    assert DEPLOY["run"].startswith("exec ") and DEPLOY["sim"].startswith("exec ")
    assert set(DEPLOY) >= {"build", "run", "sim", "policy", "node"}
    for path in [*DEPLOY["policy"], *DEPLOY["node"]]:
        assert (ROOT / path).exists(), path
