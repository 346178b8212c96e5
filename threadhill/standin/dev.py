"""A whole installation on loopback: one control plane, stand-ins for the servers in its state, and its proxies.

The control plane and the proxies are separate processes, as elsewhere; the stand-ins run in this one. The state of the
control plane is polled: servers and proxies are started and stopped as changes are applied, and a proxy whose
configuration has changed is restarted.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import sys
import tempfile
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
import typer

from threadhill.control import client
from threadhill.plans.faults import InvalidConfiguration
from threadhill.plans.rules import SERVER_KINDS
from threadhill.settings import address
from threadhill.standin.servers import Fleet

POLL_INTERVAL = 0.1  # seconds between polls of the state
ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT = 30.0  # seconds that the control plane may take to start


def environment(**more: str) -> dict[str, str]:
    """Return this process's environment with a PYTHONPATH by which a child finds this program from any folder."""
    path = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH", ""))))
    return {**os.environ, "PYTHONPATH": path, **more}


class Installation:
    """The stand-in servers and proxies of the control plane at `api`."""

    def __init__(self, data: Path, api: str, token: str, operator: str = "") -> None:
        self.data, self.api, self.token, self.operator = data, api, token, operator
        self.fleet = Fleet()
        # The process and the configuration that it was started with, by the proxy's name.
        self.proxies: dict[str, tuple[asyncio.subprocess.Process, str]] = {}
        self._client = client.ApiClient(api, token)
        self._poll_lock = asyncio.Lock()
        self._wanted: tuple[int, dict[str, dict[str, Any]]] = (0, {})

    async def follow(self) -> None:
        """Poll the state and apply it to servers and proxies until cancelled."""
        while True:
            with suppress(client.ApiError):  # the control plane may be restarting
                await self.poll()
            await asyncio.sleep(POLL_INTERVAL)

    async def poll(self) -> None:
        """Read the state once; on return, the servers of its newest version and the recorded proxies are running."""
        async with self._poll_lock:
            state = await asyncio.to_thread(self._client, "GET", "/v1/state")
            if state["version"] != self._wanted[0]:
                version = await asyncio.to_thread(self._client, "GET", f"/v1/versions/{state['version']}")
                self._wanted = state["version"], version["wanted"]
            await self.reconcile({f"{r['kind']}.{r['name']}": r["attrs"] for r in state["records"]})

    async def reconcile(self, recorded: Mapping[str, Mapping[str, Any]]) -> None:
        """Run the wanted and the recorded servers, as a server must run before it is listed, and stop all others."""
        wanted = {**self._wanted[1], **recorded}
        settings = wanted.get("settings.settings", {})
        for id, attrs in wanted.items():
            kind, name = id.split(".", 1)
            if kind not in SERVER_KINDS:
                continue
            server_address = address(attrs["address"], id)
            running = self.fleet.servers.get(name)
            if running is not None and running.address != server_address:
                self.fleet.remove(name)
                running = None
            if running is None:
                cold = 0.0 if attrs["warm"] else settings.get("upper_cold_s" if kind == "parent" else "cold_s", 0.0)
                sources = [s.split(".", 1)[1] for s in attrs.get("fills_from", ())]
                library = next((i.split(".", 1)[1] for i in wanted if i.startswith("library.")), "")
                await self.fleet.add(name, kind, server_address, cold, upstream=sources[0] if sources else library)
        for name in set(self.fleet.servers) - {
            i.split(".", 1)[1] for i in wanted if i.split(".", 1)[0] in SERVER_KINDS
        }:
            self.fleet.remove(name)
        await self._proxies({i.split(".", 1)[1] for i in recorded if i.startswith("proxy.")})

    async def _proxies(self, names: set[str]) -> None:
        for name in sorted(set(self.proxies) - names):
            await self._end(name)
        for name in sorted(names):
            config_file = self.data / "proxies" / f"{name}.json"
            if not config_file.exists():
                continue
            report = orjson.loads(config_file.read_bytes())["report"]
            process, running_report = self.proxies.get(name, (None, ""))
            if process is not None and process.returncode is None and running_report == report:
                continue
            if process is not None and process.returncode is None:
                await self._end(name)
            new_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "threadhill",
                "serve",
                *(["--operator", self.operator] if self.operator else []),
                env=environment(LB_CONFIG=str(config_file)),
                stderr=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
            self.proxies[name] = new_process, report

    async def _end(self, name: str) -> None:
        process, _ = self.proxies.pop(name)
        if process.returncode is None:
            process.terminate()
            await process.wait()

    async def close(self) -> None:
        self.fleet.close()
        for name in list(self.proxies):
            process, _ = self.proxies[name]
            if process.returncode is None:
                process.kill()
                await process.wait()


async def start_control(
    data: Path, api: str, feed: str, token: str, quiet: bool = False, *arguments: str
) -> asyncio.subprocess.Process:
    """Start a control plane as a process; return once it answers."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "threadhill",
        "control",
        "--data",
        str(data),
        "--api",
        api,
        "--feed",
        feed,
        *arguments,
        env=environment(THREADHILL_TOKEN=token),
        start_new_session=True,
        stderr=asyncio.subprocess.DEVNULL if quiet else None,
    )
    api_client = client.ApiClient(api, token)
    deadline = asyncio.get_running_loop().time() + START_TIMEOUT
    while True:
        try:
            await asyncio.to_thread(api_client, "GET", "/v1/state")
            return process
        except client.ApiError as error:
            if process.returncode is not None or asyncio.get_running_loop().time() > deadline:
                raise client.ApiError("no-control", f"the control plane did not start: {error}") from None
            await asyncio.sleep(0.05)


def dev(folder: Path, data: Path | None, var: list[str]) -> None:
    """Run an installation until SIGINT or SIGTERM."""
    try:
        wanted = client.read_configuration(folder, client.read_variables([], var))
    except InvalidConfiguration as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from None
    with tempfile.TemporaryDirectory(prefix="threadhill-") as temporary:
        try:
            asyncio.run(_dev(wanted, data or Path(temporary)))
        except (client.ApiError, OSError) as error:
            typer.echo(f"threadhill: {error}", err=True)
            raise typer.Exit(1) from None


async def _dev(wanted: dict[str, Any], data: Path) -> None:
    api, feed = "127.0.0.1:7400", "127.0.0.1:7401"
    token = os.environ.get("THREADHILL_TOKEN") or secrets.token_hex(16)
    stopped = asyncio.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signum, stopped.set)
    process = await start_control(data, api, feed, token, quiet=True)
    installation = Installation(data, api, token)
    following = asyncio.ensure_future(installation.follow())
    try:
        api_client = client.ApiClient(api, token)
        plan = await asyncio.to_thread(client.make_plan, api_client, wanted, "threadhill dev", False)
        if plan["steps"] and "unfinished" not in plan:
            lease = await asyncio.to_thread(client.begin_apply, api_client, plan, "dev", "dev", "threadhill dev")
            await asyncio.to_thread(client.run_apply, api_client, lease, lambda progress: None)
        proxies = [r.attrs["listen"] for _, r in sorted(wanted.items()) if r.kind == "proxy"]
        typer.echo(
            f"Running. Control plane {api}; proxies {', '.join(proxies)}. In another terminal:\n"
            f"  export THREADHILL_TOKEN={token} THREADHILL_PROXY={proxies[0] if proxies else ''}\n"
            "  threadhill ask art-pages 7f3a9c21e0b4d655\n"
            "  threadhill plan deploy/example -var boxes=7\n"
            "Ctrl-C ends everything."
        )
        sys.stdout.flush()
        await stopped.wait()
    finally:
        following.cancel()
        await installation.close()
        process.terminate()
        await process.wait()
