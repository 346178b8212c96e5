"""One member among others, on the control plane's loop: takes and keeps ownership, and takes up what was agreed.

What is decided here is decided in ownership/; this sends what that wishes, and tells the ledger.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from threadhill.control.agreed import Agreement, decode
from threadhill.control.ledger import Refused
from threadhill.control.members_file import MembersFile
from threadhill.control.store import Change, Unwritable
from threadhill.core.clock import unix_now
from threadhill.ownership.tenure import LeaseState, NextCommand
from threadhill.ownership.terms import CommandOutcome, Register
from threadhill.settings import address

TURN = 0.05  # seconds between looks
FRESH = 1.0  # seconds since anything of an owner was seen, after which this member may be cut off
LEAVES = 1.2  # seconds until the engine counts a member no more, and until this one orders commands
ASK_AGAIN = 0.15  # seconds until a member that was to hand over is told so again
RELAY = 0.1  # seconds for which proxies' reports are gathered before the owner gets them
REPORTS = 4_000  # that wait for it at most; the oldest go first


class Council:
    """This member, the others, and who owns."""

    def __init__(
        self, folder: Path, file: MembersFile, secret: str, name: str, token: str, log: Callable[..., None]
    ) -> None:
        self.me = next(member for member in file.members if member.name == name)
        self.name, self.token, self.log = name, token, log
        self.file = file
        others = [member.agree for member in file.members if member.name != name]
        self.agreement = Agreement(folder, name, self.me.agree, others, secret, log)
        self.lease = LeaseState(name, file.timing, time.monotonic())
        self.register = Register()  # as last taken up on the loop
        self.changed: Callable[[Change], None] = lambda change: None
        self.reloaded: Callable[[], None] = lambda: None
        self.reports: deque[bytes] = deque(maxlen=REPORTS)
        self._sent = ""  # the command that tenure waits for
        self.handovers: list[dict[str, Any]] = []
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._writer: asyncio.StreamWriter | None = None

    def start(self) -> None:
        """Begin to agree; `changed` and `reloaded` are told on the loop from now on."""
        self.agreement.start(self._told, lambda: self._soon(self._loaded))
        self._tasks = [self._loop.create_task(self._turns()), self._loop.create_task(self._relay())]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self.lease.is_held(time.monotonic()):
            with suppress(Unwritable):
                await asyncio.to_thread(self.hand_over, "")

    # --- who owns

    def term(self) -> int:
        """The term that this member owns now, 0 where it may not act as the owner."""
        if self.agreement.machine.broken or not self.lease.is_held(time.monotonic()):
            return 0
        return self.lease.term

    def fresh(self) -> bool:
        """Whether what this member knows can be told as news: it has heard of an owner lately."""
        return (
            self.agreement.ready()
            and not self.agreement.machine.broken
            and bool(self.register.owner)
            and self.lease.owner_silence(time.monotonic()) <= FRESH
        )

    def must_own(self) -> None:
        """Refused, with where to go, unless this member owns."""
        if self.term():
            return
        owner = self.register.members.get(self.register.owner)
        if owner is None or self.register.owner == self.name or not self.fresh():
            raise Refused(
                "no-owner",
                "nobody owns now, or this member is cut off from the others: nothing is changed "
                "until a majority of members agrees; try again, or another member",
            )
        raise Refused("not-owner", f"{self.register.owner} owns term {self.register.term}: ask it", owner=owner["api"])

    def hand_over(self, heir: str) -> None:
        """Give up the term, for this member to take the next one at once; for any, where none is named."""
        self.agreement.propose("release", term=self.lease.term, heir=heir)

    def add(self, name: str, places: dict[str, str]) -> None:
        """A member more. From then on the majority counts it, so that of two both must run."""
        known = self.register.members.get(name)
        if known is not None and known != places:
            raise Refused("conflict", f"{name} is a member at {known['agree']}: remove it first")
        self.agreement.propose("join", name=name, places=places, count=True)

    def remove(self, name: str) -> None:
        """A member less."""
        known = self.register.members.get(name)
        if known is None:
            raise Refused("conflict", f"{name} is no member")
        self._order()
        place = self._agree(name)
        self.agreement.propose("leave", name=name)
        end = time.monotonic() + LEAVES
        while self.agreement.counted(place):
            if time.monotonic() > end:
                raise Unwritable(f"the engine still counts {name}: look at `threadhill members`, add it and try again")
            time.sleep(TURN)

    def _order(self) -> None:
        """Let this member order commands, as only who does so can let the engine count one less, and nobody itself. The
        engine hands over to one that has all of its log only: right after a command that is one time in two, so it is
        said again until it holds. Refused, with nothing changed, where it does not in time."""
        end = time.monotonic() + LEAVES
        while not self.agreement.orders():
            if time.monotonic() > end:
                raise Refused(
                    "no-owner",
                    "another member orders commands and does not hand over: nothing is changed; " "try again",
                )
            self.agreement.propose("lead", name=self.name)
            asked = time.monotonic()
            while not self.agreement.orders() and time.monotonic() < asked + ASK_AGAIN:
                time.sleep(TURN)

    def _agree(self, name: str) -> str:
        """Where this member meets that one: as its own file says, else as it was added."""
        here = next((member.agree for member in self.file.members if member.name == name), "")
        return here or self.register.members.get(name, {}).get("agree", "")

    # --- the engine's thread

    def _soon(self, call: Callable[..., None], *words: Any) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(call, *words)

    def _told(self, command: dict[str, Any], outcome: CommandOutcome, new: bool) -> None:
        kind, name = command["kind"], command.get("name", "")
        if kind == "lead" and name != self.name:
            self.agreement.give_order(self._agree(name))
        elif outcome.ok and kind == "leave" and name != self.name:
            self.agreement.count(self._agree(name), False)
        elif outcome.ok and kind == "join" and command.get("count") and name != self.name:
            self.agreement.count(command["places"]["agree"], True)
        register = Register.from_document(orjson.loads(orjson.dumps(self.agreement.register.document())))
        self._soon(self._take, command, outcome, new, register)

    # --- the loop

    def _take(self, command: dict[str, Any], outcome: CommandOutcome, new: bool, register: Register) -> None:
        """One agreed command, in its order."""
        before, self.register = self.register, register
        self.lease.observe(register, time.monotonic())
        if command["id"] == self._sent:  # by its id: the effect of one that was given up must not pass for this one's
            self._sent = ""
            if outcome.ok:
                self.lease.command_granted(outcome.term)
            else:
                self.lease.command_refused()
        if register.owner != before.owner or register.term != before.term:
            self._owner_changed(before)
        if outcome.ok and new and command["kind"] == "change":
            self.changed(decode(command["change"]))
        elif outcome.ok and new and command["kind"] == "seed":
            self.reloaded()

    def _owner_changed(self, before: Register) -> None:
        now = self.register
        self.handovers = [
            *self.handovers[-19:],
            {"term": now.term, "owner": now.owner, "was": before.owner, "at": unix_now() // 1_000, "cause": now.cause},
        ]
        self.log("owner", term=now.term, owner=now.owner or None, was=before.owner or None, cause=now.cause)

    def _loaded(self) -> None:
        self.register = Register.from_document(orjson.loads(orjson.dumps(self.agreement.register.document())))
        self.lease.observe(self.register, time.monotonic())
        self.reloaded()

    async def _turns(self) -> None:
        while True:
            self._turn(time.monotonic())
            await asyncio.sleep(TURN)

    def _turn(self, now: float) -> None:
        """Send what this member's tenure wishes, once it has caught up."""
        if not self.agreement.ready() or self.agreement.machine.broken:
            return
        register = self.register
        if self.name not in register.members and not register.term:
            self._enlist()
            return
        if self._sent and now - self.lease.sent_at > self.lease.timing.lease:
            self._sent = ""
            self.lease.command_lost()
        command = self.lease.next_command(register, now)
        if command is NextCommand.NOTHING:
            return
        self.lease.command_sent(now)
        if command is NextCommand.RENEW:
            self._sent = self.agreement.send("renew", term=self.lease.term)
            return
        silent = self.lease.owner_silence(now)
        cause = (
            "handed over"
            if register.heir == self.name
            else "the first"
            if not register.term
            else f"{register.owner or 'nobody'} silent for {silent:.1f} s"
        )
        self._sent = self.agreement.send("claim", term=register.term, beat=register.beat, cause=cause)

    def _enlist(self) -> None:
        """The very first members are those of the file; later ones are added by command."""
        for member in self.file.members:
            if member.name not in self.register.members:
                self.agreement.send("join", name=member.name, places=member.places)

    # --- proxies' reports, which the owner needs

    def report(self, raw: dict[str, Any]) -> None:
        """A proxy's report that came to this member and is the owner's to know."""
        self.reports.append(orjson.dumps(raw))

    async def _relay(self) -> None:
        while True:
            await asyncio.sleep(RELAY)
            owner = self.register.members.get(self.register.owner)
            if self.term() or owner is None or self.register.owner == self.name:
                self.reports.clear()
                continue
            if self.reports:
                batch = list(self.reports)
                self.reports.clear()
                try:
                    async with asyncio.timeout(1.0):
                        await self._post(owner["api"], b"[" + b",".join(batch) + b"]")
                except Exception as error:  # whatever it was: the next reports come in a second, and this goes on
                    self.log("reports not relayed", to=owner["api"], error=repr(error))
                    self._drop()

    async def _post(self, where: str, body: bytes) -> None:
        """Reports to the owner's API, over one connection while it lasts."""
        if self._writer is None or self._to != where:
            self._drop()
            self._reader, self._writer = await asyncio.open_connection(*address(where, "api"))
            self._to = where
        self._writer.write(
            b"POST /v1/reports HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n"
            b"\r\n%s" % (self.token.encode(), len(body), body)
        )
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
        )
        await self._reader.readexactly(length)

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    # --- what operators see

    def document(self) -> dict[str, Any]:
        now, register = time.monotonic(), self.register
        return {
            "member": self.name,
            "owner": register.owner,
            "term": register.term,
            "owns": bool(self.term()),
            "fresh": self.fresh(),
            "as_of_ms": round(self.lease.owner_silence(now) * 1e3),
            "members": register.members,
            "broken": self.agreement.machine.broken,
            "refused": register.refused,
            "written": register.written,
            "handovers": self.handovers,
        }
