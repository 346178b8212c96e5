"""Scripted faults of stand-in servers: what happens, to whom, when, and for how long."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from threadhill.standin.servers import Server


@dataclass(frozen=True, slots=True)
class Fault:
    """`kind` is stop (it ends, and comes back cold), slow (so many times), fail (that part of requests), late (reports
    so many seconds old) or reset (its connections, every tenth of a second)."""

    kind: str
    at: float  # seconds from the start of the script
    seconds: float
    amount: float = 0.0


KINDS = ("stop", "slow", "fail", "late", "reset")


async def play(server: Server, fault: Fault) -> None:
    """Bring the fault about, and end it."""
    if fault.kind not in KINDS:
        raise ValueError(f"{fault.kind}: no such fault; there are {', '.join(KINDS)}")
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
