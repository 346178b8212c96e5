"""The clients' front: a RESP server. Requests are arrays of bulk strings, answered in any order by their tags."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import islice

from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, FinalStatus
from threadhill.decision import interface as api
from threadhill.net.body_budget import BodyBudget
from threadhill.net.input_age import time_since_input
from threadhill.net.listener import AcceptedConnection, Listener
from threadhill.net.resp_messages import (
    MAX_BODY,
    MAX_MESSAGE,
    Malformed,
    bulk,
    read_head,
    read_message,
    read_request,
)
from threadhill.net.ring import INITIAL_SIZE
from threadhill.net.seen_ids import SeenIds
from threadhill.net.stream import Stream

TYPICAL_MESSAGE = 512  # bytes; most messages without a body are shorter
UNCOUNTED_MESSAGE = MAX_MESSAGE - MAX_BODY  # bytes; memory is reserved for larger messages only
STALLED_INPUT = 500_000  # microseconds without input after which a body gives way to others
STALLED_CANDIDATES = 16  # connections looked at for one that has stalled
SCRATCH_BYTES = 64 << 10  # read at once from a connection whose input is dropped
MAX_INPUT_AGE = 3_600_000_000  # microseconds; beyond any request's time
MAX_OPEN = 32  # limit of open requests per connection
MESSAGES_PER_TURN = 16  # processed per connection and loop iteration, so that other connections have their turn
INVALID_PAUSE = 25_000  # microseconds for which a connection that sent an invalid request is not processed
MAX_PAUSE_DOUBLINGS = 4  # how often this pause may double while invalid requests continue
MAX_BACKLOG = 256 << 10  # unsent bytes from which on nothing more is read from a slow client
RETRY_AFTER = 500_000  # microseconds; backoff of requests refused by this front itself, where settings allow it
DRAIN_CHECK_INTERVAL = 50_000  # microseconds between checks for connections to close while this proxy drains
DRAIN_GRACE = 300_000  # microseconds that a connection without messages has for its first request while draining
DRAIN_REFUSE_AFTER = 1_500_000  # microseconds after the start of a drain from which on new requests are refused
PAUSED_INPUT = 16 << 10  # input bytes buffered while processing of a connection is paused
JUST_ACCEPTED = 50_000  # microseconds after accept within which input counts as received before the accept
MAX_EVENT_WAIT = 200_000  # microseconds that requests wait at most for journal events that were read before them
FINALS = {FinalStatus.SERVED: b"200", FinalStatus.REFUSED: b"503", FinalStatus.FAILED: b"500"}


class RespFront:
    """The front's listener, and the state its connections share."""

    def __init__(
        self,
        engine: Engine,
        classes: dict[str, api.RequestClass],
        max_connections: int,
        max_total_outbound: int,
        max_body_bytes: int,
        call_soon: Callable[[Callable[[], None]], object],
        log: Callable[[str], None],
    ) -> None:
        self.engine, self.classes, self.call_soon, self.log = engine, classes, call_soon, log
        settings = engine.router.settings
        self.backoff = min(RETRY_AFTER, settings.max_retry_after) if settings.retry_after_allowed else 0
        self.listener = Listener(
            engine, "client", max_connections, lambda listener: ClientConnection(self, listener), log
        )
        self.max_total_outbound = max_total_outbound  # limit of unsent bytes of all clients together
        self.bodies = BodyBudget(max_body_bytes)
        self.scratch = memoryview(bytearray(SCRATCH_BYTES))  # for input that is dropped
        self.once_only = SeenIds(lambda: engine.clock.to_monotonic(engine.clock.now()))  # of what must not run twice
        self.receiving: dict[ClientConnection, None] = {}  # connections with a part of a body, the oldest one first
        self.ready = False
        self.loop_lag: Callable[[], int] = lambda: 0  # microseconds that input read now may have waited
        self.updates_pending: Callable[[], bool] = lambda: False  # whether journal events were read but not applied yet
        self.refusing = False  # new requests are refused
        self.request_ids: set[str] = set()  # ids of the open requests
        self.drain_spread = 0  # microseconds over which closing clients is spread at shutdown; 0: all at once
        self._accepted_count = 0  # connections accepted so far
        self.draining_since = 0  # start of the drain; 0: not draining
        self._drain_number = 0  # number of the drain, so that checks scheduled by an earlier drain stop

    def open(self) -> int:
        return len(self.request_ids)

    def quiesce(self) -> None:
        """Drain clients: STATUS reports not serving, and connections are closed once no answer is pending on them. New
        requests are still served at first."""
        self.ready = False
        if not self.draining_since:
            self.draining_since = self.engine.clock.now()
            self._drain_number += 1
            self._check_drain(self._drain_number)

    def resume(self) -> None:
        self.draining_since = 0
        self.ready = True

    def refuses_new(self, now: int) -> bool:
        """Whether new requests are refused, late in a drain, so that all connections can be closed in time."""
        return bool(self.draining_since) and now - self.draining_since >= DRAIN_REFUSE_AFTER

    def _check_drain(self, drain_number: int) -> None:
        if not self.draining_since or drain_number != self._drain_number:
            return
        now = self.engine.clock.now()
        self.close_connections(now)
        self.engine.deadlines.add(now + DRAIN_CHECK_INTERVAL, lambda: self._check_drain(drain_number))

    def close_connections(self, now: int, including_busy: bool = False) -> None:
        """Close the idle connections whose turn has come in a spread drain; or all connections."""
        for connection in list(self.listener.connections):
            if (
                including_busy
                or connection.may_close(now)
                and (not self.draining_since or now - self.draining_since >= connection.close_delay)
            ):
                connection.close()

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for a request's body. Where there is none, a connection that stopped in the middle of one is
        closed for it: nothing is owed there before the request is whole."""
        if self.bodies.reserve(size):
            return True
        now = self.engine.clock.now()
        for connection in islice(self.receiving, STALLED_CANDIDATES):
            if now - connection.last_input_at >= STALLED_INPUT and not connection.has_pending_work():
                self.engine.stats.count("client", "stalled, closed for memory")
                connection.close()
                return self.bodies.reserve(size)
        return False

    def backlog(self) -> int:
        return sum(client.backlog() for client in self.listener.connections)


@dataclass(slots=True)
class OpenRequest:
    """A request that the client awaits the answer of."""

    request_id: str
    reserved: int  # bytes reserved for its body
    once_only: bool  # it must not run twice
    handle: int = -1  # the core's; -1 until it is known


class ClientConnection(AcceptedConnection):
    """A client's connection and its open requests."""

    name = "resp"

    def __init__(self, front: RespFront, listener: Listener) -> None:
        super().__init__(listener, MAX_MESSAGE, front.max_total_outbound)
        self.front = front
        front._accepted_count += 1
        self.label = f"c{front._accepted_count}"
        # When to close it, from the start of a spread drain: derived from its number, to close connections evenly.
        self.close_delay = front._accepted_count * 7_919 % 1_000 * front.drain_spread // 1_000
        self.open: dict[int, OpenRequest] = {}  # by tag
        self.last_input_at = self.accepted_at
        self._left: bool | None = None  # whether the client has ended its side; None: not asked in this turn
        self._reserved = 0  # bytes reserved for the message being received
        self._dropped_head: list[bytes] = []  # the words before the body of a message whose body is dropped
        self._drop_left = 0  # bytes of that body still to come
        self._reading = True
        self._processing_paused = False  # processing is paused until a later loop iteration
        self._waiting_since = 0  # the earliest time at which waiting input may have arrived; 0: none waits
        self._event_wait_until = 0  # until when waiting requests let journal events be applied first
        self._scanned = 0  # bytes of waiting input already scanned for NEVERMIND
        self._cancelled: set[int] = set()  # tags of waiting requests that the client has cancelled
        self._invalid_streak = 0  # consecutive iterations with invalid requests

    def disconnected(self) -> None:
        self._release_input()
        for tag in list(self.open):
            self._cancel(tag)

    def close(self) -> None:
        super().close()
        self._dropped_head, self._drop_left = [], 0
        self._release_input()

    def _release_input(self) -> None:
        """Give back the memory reserved for a message that was not received whole."""
        self.front.receiving.pop(self, None)
        self.front.bodies.release(self._reserved)
        self._reserved = 0

    def answer_pending(self) -> bool:
        return bool(self.open) or self.backlog() > 0

    def message_waiting(self) -> bool:
        received = len(self.inbound) > 0 or len(self._dropped_head) > 0 and not self._drop_left
        return received and (self._processing_paused or self._output_blocked())

    def message_incomplete(self) -> bool:
        return self._message_begun() and not self.message_waiting()

    def _message_begun(self) -> bool:
        return len(self.inbound) > 0 or len(self._dropped_head) > 0

    def may_close(self, now: int) -> bool:
        """Whether it may be closed in a drain: nothing awaited, no input buffered, and not so new that its first
        request may be in transit."""
        if self._message_begun() or not self.message_count and now - self.accepted_at < DRAIN_GRACE:
            return False
        return not self.has_pending_work()

    def _cancel(self, tag: int) -> None:
        """Cancel this request, if it is open."""
        request = self._forget(tag)
        if request is not None and request.handle >= 0:
            self.front.engine.client_gone(request.handle)

    def _forget(self, tag: int) -> OpenRequest | None:
        """Remove this request from those that are open, if it is one of them."""
        request = self.open.pop(tag, None)
        if request is not None:
            self.front.request_ids.discard(request.request_id)
            self.front.bodies.release(request.reserved)
        return request

    def _reads_into_scratch(self) -> bool:
        return self._drop_left > 0 and not len(self.inbound) and not self._closing

    def get_buffer(self, hint: int) -> memoryview:
        if self._reads_into_scratch():  # with room for the begin of what follows
            return self.front.scratch[: self._drop_left + INITIAL_SIZE]
        return super().get_buffer(hint)

    def buffer_updated(self, count: int) -> None:
        """After a delay of the event loop, requests are processed in the next iteration: journal events that arrived
        meanwhile are applied first, and the time the requests may have waited is deducted from their budgets."""
        if self._reads_into_scratch():
            dropped = min(self._drop_left, count)
            self._drop_left -= dropped
            self.inbound.write(self.front.scratch[dropped:count])
            count = 0
        waited = self.front.loop_lag()
        now = self.last_input_at = self.front.engine.clock.now()
        if waited and not self._processing_paused and not self._closing:
            self._pause_processing(0)
            self._waiting_since, self._event_wait_until = min(self._waiting_since, now - waited), now + MAX_EVENT_WAIT
            self.front.engine.stats.count("loop", "held up")
        if self.queue_delay:  # input on a connection that was accepted late may have arrived long before
            if now - self.accepted_at <= JUST_ACCEPTED:
                connection = self.transport.get_extra_info("socket")
                self._waiting_since = min(
                    self._waiting_since or now, now - time_since_input(connection, self.queue_delay)
                )
            self.queue_delay = 0
        super().buffer_updated(count)

    def parse(self) -> None:
        """Process up to MESSAGES_PER_TURN messages. The rest waits for a later iteration, so that a flood on one
        connection does not delay others; after invalid requests it waits longer each time, to slow down clients that
        send many. Reading continues meanwhile, as far as the buffer allows: a client may cancel waiting requests, or
        disconnect."""
        if self._processing_paused:
            self._throttle()
            return
        invalid = processed = 0
        self._left = None
        try:
            while processed < MESSAGES_PER_TURN and self._message_begun() and self._may_process():
                message = self._next_message()
                if message is None:
                    break
                processed += 1
                self.message_received()
                invalid += not self._process(*message)
                self._release_input()
                self._throttle()
        except Malformed as error:
            self.front.engine.stats.count("malformed", "client")
            self.write(b"-ERR " + str(error).encode() + b"\r\n")
            self.end()  # its open requests need not go on
            return
        self._invalid_streak = self._invalid_streak + 1 if invalid else 0
        if (invalid or processed == MESSAGES_PER_TURN) and not self._closing:
            self._pause_processing(
                INVALID_PAUSE << min(self._invalid_streak - 1, MAX_PAUSE_DOUBLINGS) if invalid else 0
            )
        elif not self._output_blocked():
            self._waiting_since = 0

    def _may_process(self) -> bool:
        return not self._output_blocked() and not self._closing

    def _next_message(self) -> tuple[list[bytes], bool] | None:
        """Take the next message from the input: its words, and whether it is kept whole. The body of one that there is
        no memory for is dropped as it arrives. None while it is incomplete."""
        if self._dropped_head:
            return self._drop_body()
        # Most messages are short: copy only that much from the ring buffer first, then everything.
        data = self.inbound.peek(TYPICAL_MESSAGE)
        words, size = read_message(data)
        if words is None and len(self.inbound) > TYPICAL_MESSAGE:
            data = self.inbound.peek(len(self.inbound))
            words, size = read_message(data)
        kept = size <= UNCOUNTED_MESSAGE or self._reserved > 0 or self._reserve(size)
        if words is None:
            if kept:
                self.bytes_needed = size
                return None
            self._dropped_head, self._drop_left = read_head(data), size
            return self._drop_body()
        self._skip_input(size)
        return words, kept

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the message that has begun."""
        if not self.front.reserve_body(size):
            return False
        self._reserved = size
        self.front.receiving[self] = None
        return True

    def _drop_body(self) -> tuple[list[bytes], bool] | None:
        """Drop input up to the end of the message; returns its words, without the body, once it has ended."""
        size = min(self._drop_left, len(self.inbound))
        self._skip_input(size)
        self._drop_left -= size
        if self._drop_left:
            return None
        head, self._dropped_head = self._dropped_head, []
        return [*head, b""], False

    def _skip_input(self, size: int) -> None:
        self.inbound.skip(size)
        self._scanned = max(0, self._scanned - size)
        self.bytes_needed = 1

    def _output_blocked(self) -> bool:
        """Whether so much output is unsent that nothing more is processed for this client."""
        return self._paused and self.backlog() >= MAX_BACKLOG

    def _pause_processing(self, wait: int) -> None:
        """Pause processing for this many microseconds; 0: until the next loop iteration."""
        self._processing_paused = True
        if not self._waiting_since or not len(self.inbound):  # further input arrives from now on
            self._waiting_since = self.front.engine.clock.now()
        self._throttle()
        if wait:
            self.front.engine.deadlines.add(self.front.engine.clock.now() + wait, self._resume)
        else:
            self.front.call_soon(self._resume)

    def _resume(self) -> None:
        """Process waiting input; never called from within an answer. No request is begun for a client that has
        disconnected or cancelled it meanwhile, which is only known from input after that request."""
        if self.front.engine.clock.now() < self._event_wait_until and self.front.updates_pending():
            self.front.call_soon(self._resume)
            return
        self._processing_paused = False
        if self._closing or self.transport is None:
            return
        if len(self.inbound) and self.hung_up():
            self.end()
            return
        self._scan_cancellations()
        self._throttle()
        self.process_input()

    def _scan_cancellations(self) -> None:
        """Scan the waiting input for NEVERMIND, and note which requests it cancels."""
        if self._dropped_head:  # the input begins in the middle of a message
            return
        data = self.inbound.peek(len(self.inbound))
        try:
            while self._scanned < len(data):
                words, end = read_message(data, self._scanned)
                if words is None:
                    return
                self._scanned = end
                if len(words) > 1 and words[0].upper() == b"NEVERMIND" and words[1].isdigit():
                    self._cancelled.add(int(words[1][:18]))
        except Malformed:
            return  # reported when the message is processed

    def _process(self, words: list[bytes], kept: bool) -> bool:
        """Process one message; returns whether it was valid. `kept`: its body was not dropped."""
        command = words[0].upper()
        if len(words) < 2 or not words[1].isdigit() or len(words[1]) > 18 or not int(words[1]):
            raise Malformed("a message needs a tag, a number from 1 up")
        tag = int(words[1])
        if command == b"ASK":
            return self._process_request(tag, words, kept)
        if command == b"NEVERMIND":
            self._cancelled.discard(tag)
            self._cancel(tag)
        elif command == b"STATUS":
            self.write(bulk(b"%d" % tag, b"serving" if self.front.ready else b"not_serving", b"", b""))
        else:
            raise Malformed("unknown command")
        return True

    def _process_request(self, tag: int, words: list[bytes], kept: bool) -> bool:
        if tag in self.open:
            raise Malformed("the tag is in use")
        if tag in self._cancelled:
            self.front.engine.stats.count("client_gone", "before it was taken")
            return True
        cls = None
        try:
            if len(words) < 4:
                raise ValueError("a request has a class and fields")
            cls = self.front.classes.get(words[2].decode("utf-8"))
            if cls is None:
                raise ValueError("no such class")
            request = read_request(cls, words[3], words[4] if len(words) > 4 else b"")
        except ValueError as error:
            self.front.engine.stats.count("malformed", "request")
            if cls is not None:
                self.front.engine.stats.count("front_failed", cls.name)
            self.front.log(f"invalid request: {error!r}")
            self._send_answer(tag, Answer(FinalStatus.FAILED))
            return False
        if request.request_id in self.front.request_ids:
            # On a connection to a cache server the two requests and their answers could not be told apart.
            if any(one.request_id == request.request_id for one in self.open.values()):
                raise Malformed("the id is in use")
            self.front.engine.stats.count("malformed", "id in use")
            self.front.engine.stats.count("front_failed", request.class_name)
            self._send_answer(tag, Answer(FinalStatus.FAILED))
            return False
        now = self.front.engine.clock.now()
        request.time_left -= self._waiting_time(now, large=self._reserved > 0 or not kept)
        if self._client_has_left():
            self.front.engine.stats.count("client_gone", request.class_name)
            return True
        refused = self.front.refusing or self.front.refuses_new(now) or not kept
        if len(self.open) >= MAX_OPEN or refused or request.time_left <= 0:
            self.front.engine.stats.count("front_refused", request.class_name)
            self._send_answer(tag, Answer(FinalStatus.REFUSED, retry_after=self.front.backoff))
            return len(self.open) < MAX_OPEN  # only exceeding the limit of open requests is the client's fault
        once_only = cls.retry_safety is api.RetrySafety.UNSAFE
        if once_only and not self._claim(request.request_id):
            self.front.engine.stats.count("front_failed", request.class_name)
            self._send_answer(tag, Answer(FinalStatus.FAILED))  # not a refusal: the first one may have run
            return True
        request.client = self.label
        opened = self.open[tag] = OpenRequest(request.request_id, self._reserved, once_only)
        self._reserved = 0  # it is kept until the request ends
        self.front.request_ids.add(request.request_id)
        opened.handle = self.front.engine.submit(self, tag, request)
        return True

    def _client_has_left(self) -> bool:
        """Whether the client has ended its side behind the input being processed; asked once for each turn."""
        if self._left is None:
            self._left = self.hung_up()
        return self._left

    def _claim(self, id: str) -> bool:
        """Take the id of a request that must not run twice; False if it came before and may have run."""
        try:
            if self.front.once_only.claim(id):
                return True
        except OSError as error:  # the other process holds the lock: this one may run there
            self.front.log(f"request {id}: not sent: {error}")
        self.front.engine.stats.count("malformed", "came again")
        return False

    def _waiting_time(self, now: int, large: bool) -> int:
        """Microseconds since the message being processed arrived: its budget runs from then. A large one may have been
        read over many iterations, with all of it in the kernel's buffer from the first of them on."""
        waited = now - self._waiting_since if self._waiting_since else 0
        if large and self.transport is not None:
            waited = max(waited, time_since_input(self.transport.get_extra_info("socket"), MAX_INPUT_AGE))
        return waited

    def answer(self, ref: int, answer: Answer) -> None:
        """Send the final answer of a request, if the client still waits for it."""
        request = self._forget(ref)
        if request is None:
            return
        if request.once_only and answer.status is FinalStatus.REFUSED:  # it did not run
            with suppress(OSError):
                self.front.once_only.release(request.request_id)
        self._send_answer(ref, answer)
        self._throttle()
        now = self.front.engine.clock.now()
        if self.front.draining_since and self.may_close(now) and now - self.front.draining_since >= self.close_delay:
            self.close()

    def _send_answer(self, ref: int, answer: Answer) -> None:
        """Write an answer whole: a partial one would block those of all other tags."""
        fields = b""
        if answer.not_modified:
            fields = b"still=1"
        elif answer.retry_after:
            fields = b"backoff=%d" % (answer.retry_after // 1_000)
        head = b"*4\r\n$%d\r\n%d\r\n$3\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n" % (
            len(str(ref)),
            ref,
            FINALS[answer.status],
            len(fields),
            fields,
            len(answer.body),
        )
        # Bound the memory held for clients that do not read: over the limit, drop the one with the largest backlog.
        while self.slow and self.front.backlog() + len(answer.body) > self.front.max_total_outbound:
            slowest = max(self.listener.connections, key=Stream.backlog)
            slowest.drop_slow()
            if slowest is self:
                return
        if not self.write(head, answer.body, b"\r\n"):
            self.drop_slow()
            return
        self.front.engine.stats.count("bytes_out", "clients", len(answer.body))

    def drop_slow(self) -> None:
        """Drop this client, as it does not read its answers."""
        self.front.engine.stats.count("client", "too slow")
        self.outbound.skip(len(self.outbound))
        self.abort()

    def backlog_changed(self) -> None:
        was_reading = self._reading
        self._throttle()
        if self._reading and not was_reading and not self._processing_paused:
            self._pause_processing(0)

    def _throttle(self) -> None:
        """Read only while the client reads its answers, and at most PAUSED_INPUT bytes while processing is paused."""
        reading = not self._output_blocked() and not (self._processing_paused and len(self.inbound) >= PAUSED_INPUT)
        if not reading:
            self._waiting_since = self._waiting_since or self.front.engine.clock.now()
        if reading == self._reading or self.transport is None or self._closing:
            return
        self._reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
