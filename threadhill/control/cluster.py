"""One member of a replicated control plane, on its event loop: claims and renews ownership, and passes on committed
changes.

The decisions are made in ownership/; this module sends the commands and notifies the ledger.
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

from threadhill.control.agreed import Consensus, decode
from threadhill.control.ledger import Refused
from threadhill.control.members_file import MembersFile
from threadhill.control.store import Change, WriteFailed
from threadhill.core.clock import unix_now
from threadhill.ownership.lease import LeaseState, NextCommand
from threadhill.ownership.register import CommandOutcome, Register
from threadhill.settings import address

TICK = 0.05  # seconds between checks of the lease
MAX_OWNER_SILENCE = 1.0  # seconds without a sign of the owner after which this member may be cut off
MEMBERSHIP_TIMEOUT = 1.2  # seconds that Raft may take to remove a member, and this member to become the leader
LEAD_RETRY = 0.15  # seconds until the leader is asked again to transfer leadership
RELAY_INTERVAL = 0.1  # seconds for which proxies' reports are collected before they are sent to the owner
MAX_QUEUED_REPORTS = 4_000  # reports that wait for the owner; beyond that the oldest are dropped


class Cluster:
    """This member, the other members, and which of them is the owner."""

    def __init__(
        self, folder: Path, file: MembersFile, secret: str, name: str, token: str, log: Callable[..., None]
    ) -> None:
        self.own_entry = next(member for member in file.members if member.name == name)
        self.name, self.token, self.log = name, token, log
        self.members_file = file
        others = [member.agree for member in file.members if member.name != name]
        self.consensus = Consensus(folder, name, self.own_entry.agree, others, secret, log)
        self.lease = LeaseState(name, file.timing, time.monotonic())
        self.register = Register()  # as last copied to the event loop
        self.on_change: Callable[[Change], None] = lambda change: None
        self.on_reload: Callable[[], None] = lambda: None
        self.queued_reports: deque[bytes] = deque(maxlen=MAX_QUEUED_REPORTS)
        self._outstanding = ""  # id of the command whose outcome the lease waits for
        self.handovers: list[dict[str, Any]] = []
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._writer: asyncio.StreamWriter | None = None

    def start(self) -> None:
        """Join the Raft group. From now on `on_change` and `on_reload` are called on the loop."""
        self.consensus.start(self._command_applied, lambda: self._call_on_loop(self._image_loaded))
        self._tasks = [self._loop.create_task(self._lease_loop()), self._loop.create_task(self._relay_loop())]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self.lease.is_held(time.monotonic()):
            with suppress(WriteFailed):
                await asyncio.to_thread(self.hand_over, "")

    # --- ownership and membership

    def owned_term(self) -> int:
        """The term that this member owns now; 0 if it may not act as the owner."""
        if self.consensus.machine.broken or not self.lease.is_held(time.monotonic()):
            return 0
        return self.lease.term

    def up_to_date(self) -> bool:
        """Whether this member may pass on its state as current: it saw a sign of the owner within MAX_OWNER_SILENCE."""
        return (
            self.consensus.is_ready()
            and not self.consensus.machine.broken
            and bool(self.register.owner)
            and self.lease.owner_silence(time.monotonic()) <= MAX_OWNER_SILENCE
        )

    def require_ownership(self) -> None:
        """Raise Refused, with the owner's address if it is known, unless this member is the owner."""
        if self.owned_term():
            return
        owner = self.register.members.get(self.register.owner)
        if owner is None or self.register.owner == self.name or not self.up_to_date():
            raise Refused(
                "no-owner",
                "there is no owner now, or this member is cut off from the others: nothing is changed "
                "until a majority of members agrees; try again, or ask another member",
            )
        raise Refused("not-owner", f"{self.register.owner} owns term {self.register.term}: ask it", owner=owner["api"])

    def hand_over(self, heir: str) -> None:
        """Release the term so that `heir` may claim the next one at once; "": any member, after the usual wait."""
        self.consensus.propose("release", term=self.lease.term, heir=heir)

    def add_member(self, name: str, addresses: dict[str, str]) -> None:
        """Add a member. It counts towards the majority at once: of two members, both must run."""
        known = self.register.members.get(name)
        if known is not None and known != addresses:
            raise Refused("conflict", f"{name} is a member at {known['agree']}: remove it first")
        self.consensus.propose("join", name=name, places=addresses, count=True)

    def remove_member(self, name: str) -> None:
        """Remove a member."""
        known = self.register.members.get(name)
        if known is None:
            raise Refused("conflict", f"{name} is no member")
        self._become_leader()
        raft_address = self._raft_address(name)
        self.consensus.propose("leave", name=name)
        end = time.monotonic() + MEMBERSHIP_TIMEOUT
        while self.consensus.has_peer(raft_address):
            if time.monotonic() > end:
                raise WriteFailed(
                    f"{name} still counts towards the majority: look at `threadhill members`, add it and try again"
                )
            time.sleep(TICK)

    def _become_leader(self) -> None:
        """Make this member Raft's leader: only the leader can remove a node, and it cannot remove itself. Leadership
        moves only to a node that has the leader's whole log; right after a command this is so about every second time,
        so the request is repeated. Raises Refused, with nothing changed, if it does not succeed in time."""
        end = time.monotonic() + MEMBERSHIP_TIMEOUT
        while not self.consensus.is_leader():
            if time.monotonic() > end:
                raise Refused(
                    "no-owner",
                    "another member leads the Raft group and did not transfer leadership: nothing is changed; "
                    "try again",
                )
            self.consensus.propose("lead", name=self.name)
            asked = time.monotonic()
            while not self.consensus.is_leader() and time.monotonic() < asked + LEAD_RETRY:
                time.sleep(TICK)

    def _raft_address(self, name: str) -> str:
        """A member's Raft address: from this member's own file, else as it was added."""
        listed = next((member.agree for member in self.members_file.members if member.name == name), "")
        return listed or self.register.members.get(name, {}).get("agree", "")

    # --- called from Raft's thread

    def _call_on_loop(self, callback: Callable[..., None], *arguments: Any) -> None:
        with suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(callback, *arguments)

    def _command_applied(self, command: dict[str, Any], outcome: CommandOutcome, new: bool) -> None:
        kind, name = command["kind"], command.get("name", "")
        if kind == "lead" and name != self.name:
            self.consensus.transfer_leadership(self._raft_address(name))
        elif outcome.ok and kind == "leave" and name != self.name:
            self.consensus.change_membership(self._raft_address(name), False)
        elif outcome.ok and kind == "join" and command.get("count") and name != self.name:
            self.consensus.change_membership(command["places"]["agree"], True)
        register = Register.from_document(orjson.loads(orjson.dumps(self.consensus.register.document())))
        self._call_on_loop(self._on_committed, command, outcome, new, register)

    # --- called on the event loop

    def _on_committed(self, command: dict[str, Any], outcome: CommandOutcome, new: bool, register: Register) -> None:
        """Take in one committed command; they come in their order."""
        before, self.register = self.register, register
        self.lease.observe(register, time.monotonic())
        if command["id"] == self._outstanding:  # an earlier command that was given up has another id
            self._outstanding = ""
            if outcome.ok:
                self.lease.command_granted(outcome.term)
            else:
                self.lease.command_refused()
        if register.owner != before.owner or register.term != before.term:
            self._owner_changed(before)
        if outcome.ok and new and command["kind"] == "change":
            self.on_change(decode(command["change"]))
        elif outcome.ok and new and command["kind"] == "seed":
            self.on_reload()

    def _owner_changed(self, before: Register) -> None:
        now = self.register
        self.handovers = [
            *self.handovers[-19:],
            {"term": now.term, "owner": now.owner, "was": before.owner, "at": unix_now() // 1_000, "cause": now.cause},
        ]
        self.log("owner", term=now.term, owner=now.owner or None, was=before.owner or None, cause=now.cause)

    def _image_loaded(self) -> None:
        self.register = Register.from_document(orjson.loads(orjson.dumps(self.consensus.register.document())))
        self.lease.observe(self.register, time.monotonic())
        self.on_reload()

    async def _lease_loop(self) -> None:
        while True:
            self._tick(time.monotonic())
            await asyncio.sleep(TICK)

    def _tick(self, now: float) -> None:
        """Send the lease's next command, if any, once this member has caught up."""
        if not self.consensus.is_ready() or self.consensus.machine.broken:
            return
        register = self.register
        if self.name not in register.members and not register.term:
            self._join_initial_members()
            return
        if self._outstanding and now - self.lease.sent_at > self.lease.timing.lease:
            self._outstanding = ""
            self.lease.command_lost()
        command = self.lease.next_command(register, now)
        if command is NextCommand.NOTHING:
            return
        self.lease.command_sent(now)
        if command is NextCommand.RENEW:
            self._outstanding = self.consensus.send("renew", term=self.lease.term)
            return
        silent = self.lease.owner_silence(now)
        cause = (
            "handed over"
            if register.heir == self.name
            else "the first"
            if not register.term
            else f"{register.owner or 'nobody'} silent for {silent:.1f} s"
        )
        self._outstanding = self.consensus.send("claim", term=register.term, beat=register.beat, cause=cause)

    def _join_initial_members(self) -> None:
        """Register the members of the file as the first ones; later ones are added by command."""
        for member in self.members_file.members:
            if member.name not in self.register.members:
                self.consensus.send("join", name=member.name, places=member.addresses)

    # --- proxies' reports, relayed to the owner

    def queue_report(self, raw: dict[str, Any]) -> None:
        """Queue a proxy's report for the owner."""
        self.queued_reports.append(orjson.dumps(raw))

    async def _relay_loop(self) -> None:
        while True:
            await asyncio.sleep(RELAY_INTERVAL)
            owner = self.register.members.get(self.register.owner)
            if self.owned_term() or owner is None or self.register.owner == self.name:
                self.queued_reports.clear()
                continue
            if self.queued_reports:
                batch = list(self.queued_reports)
                self.queued_reports.clear()
                try:
                    async with asyncio.timeout(1.0):
                        await self._post(owner["api"], b"[" + b",".join(batch) + b"]")
                except Exception as error:  # of any kind: the loop must go on, and new reports come every second
                    self.log("reports not relayed", to=owner["api"], error=repr(error))
                    self._disconnect()

    async def _post(self, owner_address: str, body: bytes) -> None:
        """Send reports to the owner's API, over one connection while it lasts."""
        if self._writer is None or self._relay_address != owner_address:
            self._disconnect()
            self._reader, self._writer = await asyncio.open_connection(*address(owner_address, "api"))
            self._relay_address = owner_address
        self._writer.write(
            b"POST /v1/reports HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n"
            b"\r\n%s" % (self.token.encode(), len(body), body)
        )
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
        )
        await self._reader.readexactly(length)

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    # --- for operators

    def document(self) -> dict[str, Any]:
        now, register = time.monotonic(), self.register
        return {
            "member": self.name,
            "owner": register.owner,
            "term": register.term,
            "owns": bool(self.owned_term()),
            "fresh": self.up_to_date(),
            "as_of_ms": round(self.lease.owner_silence(now) * 1e3),
            "members": register.members,
            "broken": self.consensus.machine.broken,
            "refused": register.refused,
            "written": register.written,
            "handovers": self.handovers,
        }
