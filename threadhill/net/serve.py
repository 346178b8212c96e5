"""The running proxy: what is plugged into the core, the loop's one timer, and the way out."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping

import orjson

from threadhill.admin.api import Api
from threadhill.admin.http import HttpConnection
from threadhill.config import AdminConfig, BadConfig, Config, Operator, load
from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.core.engine import Engine
from threadhill.dns.front import DnsConfig, DnsFront
from threadhill.dns.transport import DnsServer
from threadhill.net.journal import Journal
from threadhill.net.lines import CacheServers
from threadhill.net.resp import Platform
from threadhill.stats import Stats

SERVE_ON = 700_000  # microseconds after SIGTERM in which requests still come and are taken
LOOK_AGAIN = 10_000  # microseconds between looks whether all is answered


def log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


class Proxy:
    """One steering proxy on the running loop."""

    def __init__(self, config: Config, operator: Operator) -> None:
        self.config, self.operator = config, operator
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.stats = Stats()
        self._timer: asyncio.TimerHandle | None = None
        self.deadlines = Deadlines(self._arm)
        self.engine = Engine(config.settings, config.seed, self.clock, self.deadlines, self.stats, log)
        self.caches = CacheServers(self.engine, config.limits, log)
        self.journal = Journal(self.engine, self.caches, log)
        self.front = Platform(self.engine, frozenset(config.settings.classes), config.clients,
                              self.loop.call_soon, log)
        self.done = asyncio.Event()
        self._leaving = 0  # when SIGTERM came

    def _arm(self, when: int | None) -> None:
        """One timer stands for the head of all deadlines."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if when is not None:
            self._timer = self.loop.call_later(max(0, when - self.clock.now()) / 1e6, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        self.deadlines.woken()
        self.deadlines.sweep(self.clock.now())

    async def run(self) -> None:
        """Serve until told to stop and all that was taken is answered."""
        # First of all: a signal that nobody handles ends the process.
        for signum, handle in ((signal.SIGTERM, self.leave), (signal.SIGINT, self.leave),
                               (signal.SIGUSR1, self.report), (signal.SIGHUP, self.reload)):
            self.loop.add_signal_handler(signum, handle)
        self.engine.start(self.caches)
        self.journal.catch_up(*self.config.known)
        self.journal.follow(self.config.journal)
        host, port = self.config.listen
        server = await self.loop.create_server(lambda: self.front(), host, port, backlog=512)
        self.engine.tenants.replace(list(self.operator.tenants))
        if self.operator.dns is not None:
            await self._serve_dns(self.operator.dns)
        if self.operator.admin is not None:
            await self._serve_admin(self.operator.admin)
        self.front.ready = True
        log(f"{self.config.name}: serving on {host}:{server.sockets[0].getsockname()[1]}")
        await self.done.wait()
        server.close()
        self.report()

    async def _serve_dns(self, config: DnsConfig) -> None:
        front = DnsFront(self.engine, config, frozenset(self.config.settings.classes), self.caches.where,
                         self.caches.families)
        log(f"dns: serving on {await DnsServer(front).listen()}")

    async def _serve_admin(self, config: AdminConfig) -> None:
        api = Api(self.engine.tenants, self.stats, lambda: log(f"tenants: version {self.engine.tenants.version}"))
        server = await self.loop.create_server(
            lambda: HttpConnection(config.token, api, self.deadlines, self.clock.now), *config.listen)
        host, port = server.sockets[0].getsockname()[:2]
        log(f"admin: serving on {host}:{port}")

    def reload(self, environ: Mapping[str, str] = os.environ) -> None:
        """SIGHUP: the file is read and checked whole before anything changes; a bad one changes nothing. Journal
        and limits move at once; what stands for the process itself, or shapes the module, takes a restart."""
        try:
            new = load(environ)
        except BadConfig as error:
            self.stats.count("reload", "refused")
            log(f"reload: {error}; everything stays as it is")
            return
        old, self.config = self.config, new
        later = [key for key in ("name", "listen", "settings") if getattr(old, key) != getattr(new, key)]
        self.caches.limit(new.limits)
        self.front.most = new.clients
        self.journal.catch_up(*new.known)
        self.journal.follow(new.journal)
        self.stats.count("reload", "done")
        log("reload: done" + (f"; {', '.join(later)} take a restart" if later else ""))

    def leave(self) -> None:
        """SIGTERM: clients still come for a while, and all that is taken is answered before the end."""
        if not self._leaving:
            self._leaving = self.clock.now()
            self.front.ready = False
            self._look()

    def _look(self) -> None:
        now = self.clock.now()
        owed = self.front.open() or self.front.backlog()
        if now - self._leaving >= SERVE_ON and not owed:
            self.done.set()
        else:
            self.deadlines.add(now + LOOK_AGAIN, self._look)

    def report(self) -> None:
        """The counters, one line of JSON."""
        log(orjson.dumps(self.stats.table()).decode())


def serve(config: Config, operator: Operator) -> None:
    async def main() -> None:
        await Proxy(config, operator).run()

    try:
        asyncio.run(main())
    except OSError as error:  # an address that is in use, or is not this machine's
        raise BadConfig(str(error)) from None
