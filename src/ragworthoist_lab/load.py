"""Open-loop load of customers, and what became of each of their requests."""

import hashlib
import json
import random
from dataclasses import dataclass, field

import aiohttp
import anyio

from ragworthoist.net.web import OUTCOME_HEADER, REASON_HEADER, TICKET_HEADER
from ragworthoist_lab.server import ITEM_HEADER

CUSTOMER_TIMEOUT_SECONDS = 15.0
MAX_TICKET_ATTEMPTS = 3


@dataclass(frozen=True)
class Stream:
    """Requests of one kind, arriving at random with a mean rate.

    `repeats` is how often a customer repeats a request that did not complete,
    at once and without regard to the advice to wait.
    """

    kind: str
    rank: str
    method: str
    path: str
    requests_per_second: float
    deadline_seconds: float = 1.0
    retries: int = 0
    body: bytes = b""


@dataclass(slots=True)
class Result:
    """What became of one customer request."""

    kind: str
    rank: str
    item: str
    sent_at: float
    duration_seconds: float = 0.0
    outcome: str = "unknown"
    reason: str = ""
    status: int = 0
    attempts: int = 0
    has_wrong_body: bool = False
    is_reported_not_run: bool = False
    deadline_seconds: float = 1.0

    @property
    def is_completed(self):
        """Whether the customer got the whole answer within the deadline."""
        return self.outcome == "completed" and not self.has_wrong_body


@dataclass
class Customers:
    """Sends streams of requests to entrances and keeps the results.

    Parameters
    ----------
    entrances : callable
        Returns the list of URLs of entrances that are open now.
    seed : int
        Seed of arrivals and of the choice of entrances.
    name : str
        Prefix of the ids of requests, to tell several groups of customers apart.
    """

    entrances: object
    seed: int = 1
    id_prefix: str = ""
    results: list = field(default_factory=list)
    _session: aiohttp.ClientSession = None
    _tasks: object = None
    _count: int = 0

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=20)
        timeout = aiohttp.ClientTimeout(total=CUSTOMER_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(self, *exception):
        try:
            return await self._tasks.__aexit__(*exception)
        finally:
            await self._session.close()

    async def run(self, streams, seconds):
        """Send `streams` for `seconds`; answers may still be under way after."""
        async with anyio.create_task_group() as tasks:
            for number, stream in enumerate(streams):
                if stream.requests_per_second > 0:
                    seed = f"{self.seed}/{number}/{stream.kind}"
                    tasks.start_soon(
                        self._send_stream, stream, seconds, random.Random(seed)
                    )

    async def _send_stream(self, stream, seconds, random_source):
        start = anyio.current_time()
        due_seconds = random_source.expovariate(stream.requests_per_second)
        while due_seconds < seconds:
            delay = start + due_seconds - anyio.current_time()
            if delay > 0:
                await anyio.sleep(delay)
            self._count += 1
            item = f"{self.id_prefix}{stream.kind}-{self._count}"
            self._tasks.start_soon(self.request, stream, item, random_source.random())
            due_seconds += random_source.expovariate(stream.requests_per_second)

    async def request(self, stream, item, entrance_choice=0.0):
        """Make one customer request, with its repeats, and return the `Result`."""
        result = Result(
            stream.kind,
            stream.rank,
            item,
            anyio.current_time(),
            deadline_seconds=stream.deadline_seconds,
        )
        entrances = self.entrances()
        number = int(entrance_choice * len(entrances))
        ticket = None
        for attempt in range(stream.retries + 1):
            entrance = entrances[(number + attempt) % len(entrances)]
            ticket = await self._attempt(stream, item, entrance, ticket, result)
            if result.outcome == "completed":
                break
        result.duration_seconds = anyio.current_time() - result.sent_at
        self.results.append(result)
        return result

    async def _attempt(self, stream, item, entrance, ticket, result):
        """Make one try, fetching a ticket first if one is asked for."""
        for _ in range(MAX_TICKET_ATTEMPTS):
            headers = {ITEM_HEADER.decode(): item}
            if ticket:
                headers[TICKET_HEADER.decode()] = ticket
            result.attempts += 1
            try:
                async with self._session.request(
                    stream.method,
                    entrance + stream.path,
                    data=stream.body or None,
                    headers=headers,
                ) as response:
                    body = await response.read()
            except (aiohttp.ClientError, OSError, TimeoutError):
                result.outcome, result.reason = "unknown", "connection"
                return ticket
            self._record_response(response, body, item, stream, result)
            offered = response.headers.get(TICKET_HEADER.decode())
            ticket = offered or ticket
            if response.status != 428:
                return ticket
        return ticket

    def _record_response(self, response, body, item, stream, result):
        result.status = response.status
        result.reason = response.headers.get(REASON_HEADER.decode(), "")
        result.outcome = response.headers.get(OUTCOME_HEADER.decode(), "unknown")
        if result.outcome == "completed":
            result.has_wrong_body = not _is_expected_body(body, item, stream)
        result.is_reported_not_run = result.outcome == "not-run"


def _is_expected_body(body, item, stream):
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    digest = hashlib.sha256(stream.body).hexdigest()
    service = stream.path.split("/")[1]
    expected = {"service": service, "item": item, "digest": digest}
    return answer == expected
