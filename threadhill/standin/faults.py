"""Scripted faults of stand-in servers: kind, server, start and duration."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from threadhill.standin.servers import Server


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one server. `kind` is stop (the server stops, then restarts with a cold start of `amount` seconds),
    slow (answers take `amount` times as long), fail (that share of the requests fails), late (load reports are `amount`
    seconds old) or reset (all its connections, every 0.1 s)."""

    kind: str
    at: float  # seconds from the start of the script
    seconds: float
    amount: float = 0.0


KINDS = ("stop", "slow", "fail", "late", "reset")


async def inject(server: Server, fault: Fault) -> None:
    """Wait until the fault is due, apply it, and end it after its duration."""
    if fault.kind not in KINDS:
        raise ValueError(f"unknown fault {fault.kind}; known faults: {', '.join(KINDS)}")
    await asyncio.sleep(fault.at)
    if fault.kind == "stop":
        server.stop()
        await asyncio.sleep(fault.seconds)
        await server.restart(cold=fault.amount)
    elif fault.kind == "slow":
        server.slowdown = fault.amount
        await asyncio.sleep(fault.seconds)
        server.slowdown = 1.0
    elif fault.kind == "fail":
        server.failure_share = fault.amount
        await asyncio.sleep(fault.seconds)
        server.failure_share = 0.0
    elif fault.kind == "late":
        server.report_delay = fault.amount
        await asyncio.sleep(fault.seconds)
        server.report_delay = 0.0
    else:
        for _ in range(int(10 * fault.seconds)):
            for link in list(server.connections):
                link.transport.abort()
            await asyncio.sleep(0.1)
