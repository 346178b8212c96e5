"""Many proxies killed at once under load, and idle clients that use up the descriptors while discovery is down."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path

from tests.harness import ROOT, ProxyHarness, open_silent_connections, until
from tests.test_proxy import run_scenario
from threadhill.standin.ask import Client
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings

KILLED = 24
READY_S = 10.0  # seconds within which nine in ten of the killed proxies must be ready


async def ready(swarm: Swarm, name: str, began: float) -> float:
    """Seconds until this proxy answers STATUS with `serving`."""
    proxy = swarm.proxies[name]
    while True:
        with suppress(OSError):
            client = await Client.connect(swarm.host, proxy.port)
            word, _, _ = await client.send(b"STATUS")
            client.close()
            if word == "serving":
                return time.monotonic() - began
        await asyncio.sleep(0.02)


def test_nine_in_ten_of_24_proxies_killed_under_load_are_soon_ready(tmp_path: Path) -> None:
    async def scene() -> None:
        swarm = Swarm(tmp_path, "127.0.0.1", location_settings(KILLED), ROOT)
        try:
            await swarm.start_servers(6)
            names = [swarm.configure(f"p{n}").name for n in range(KILLED)]
            await swarm.launch(names)
            load = LoadGenerator(swarm, 60.0)
            await load.run(1.0)
            for name in names:
                swarm.proxies[name].signal(signal.SIGKILL)
            for name in names:
                await swarm.proxies[name].process.wait()
            began = time.monotonic()
            await swarm.launch(names)
            times = sorted(await asyncio.gather(*(ready(swarm, name, began) for name in names)))
            in_time = times[len(times) * 9 // 10]
            print(f"{KILLED} killed at once: nine in ten ready within {in_time:.2f} s, all within {times[-1]:.2f} s")
            assert in_time < READY_S
            load.close()
        finally:
            await swarm.close()

    asyncio.run(scene())


def test_idle_clients_holding_all_descriptors_do_not_block_discovery(tmp_path: Path) -> None:
    """Discovery stops and restarts while idle clients hold all descriptors that clients may use."""

    async def scene(w: ProxyHarness) -> None:
        silent = await open_silent_connections(w.port, 120)
        w.journal.server.close()
        w.journal.reset()
        await w.logged("journal: no connection")
        silent += await open_silent_connections(w.port, 60)
        w.journal.hosts(w.caches[0].member("DRAINING"))
        w.journal.server = await asyncio.start_server(w.journal.serve, w.journal.host, w.journal.port)
        await w.wait_for_events()
        client = await w.client()
        for n in range(8):
            assert (await client.get(obj=f"{n:016x}"))[0] == "200"
        assert not w.caches[0].asked and w.process.returncode is None
        await until(lambda: w.counter("fault", "loop") == 0 and w.counter("fault", "deadline") == 0, "no fault")
        for _, writer in silent:
            writer.close()

    run_scenario(tmp_path, scene, sockets=160)
