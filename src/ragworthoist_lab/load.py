"""Open-loop load from customers, and the result of each of their requests."""

import hashlib
import json
import random
from dataclasses import dataclass, field

import aiohttp
import anyio

from ragworthoist.net.web import OUTCOME_HEADER, REASON_HEADER, TICKET_HEADER
from ragworthoist_lab.server import ITEM_HEADER

CUSTOMER_TIMEOUT_SECONDS = 15.0
MAX_HTTP_REQUESTS_PER_ATTEMPT = 3


@dataclass(frozen=True)
class Stream:
    """Requests of one kind, which arrive as a Poisson process.

    Parameters
    ----------
    kind : str
        Kind of the requests.
    rank : str
        Rank of the kind, for the summary only.
    method : str
        HTTP method.
    path : str
        Path and query; its first segment is the service.
    requests_per_second : float
        Mean rate, 0 for no requests.
    deadline_seconds : float
        Copied to the results.
    retries : int
        How often a customer retries a request that did not complete. Retries are
        sent immediately, even if the response advises to wait.
    body : bytes
        Body of each request.
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
    """Result of one customer request.

    Parameters
    ----------
    kind, rank : str
        Kind and rank of the request's stream.
    item : str
        Id that the customer gave the request.
    sent_at : float
        Time of the first attempt by the event loop's clock, in seconds.
    duration_seconds : float
        Time from the first attempt to the end of the last one.
    outcome : str
        Outcome header of the last response; "unknown" if it has none or if the last
        HTTP request got no response.
    reason : str
        Reason header of the last response; "connection" if the last HTTP request got
        no response.
    status : int
        HTTP status of the last response, 0 if there was none.
    http_requests_sent : int
        HTTP requests sent, including those that fetched a ticket.
    has_wrong_body : bool
        Whether a completed response had another body than expected.
    is_reported_not_run : bool
        Whether the last response reported that the request did not run.
    deadline_seconds : float
        Deadline of the request's stream.
    """

    kind: str
    rank: str
    item: str
    sent_at: float
    duration_seconds: float = 0.0
    outcome: str = "unknown"
    reason: str = ""
    status: int = 0
    http_requests_sent: int = 0
    has_wrong_body: bool = False
    is_reported_not_run: bool = False
    deadline_seconds: float = 1.0

    @property
    def is_completed(self):
        """Whether the request completed and its response has the expected body."""
        return self.outcome == "completed" and not self.has_wrong_body


@dataclass
class Customers:
    """Customers who send streams of requests to entrances and keep the results.

    Parameters
    ----------
    entrances : callable
        Returns the URLs of the entrances that are currently open.
    seed : int
        Seed of arrivals and of the choice of entrances.
    id_prefix : str
        Prefix of the ids of requests, which distinguishes groups of customers.
    """

    entrances: object
    seed: int = 1
    id_prefix: str = ""
    results: list = field(default_factory=list)
    _session: aiohttp.ClientSession = None
    _tasks: object = None
    _request_count: int = 0

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
        """Send `streams` for `seconds`; responses may still be pending on return."""
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
            self._request_count += 1
            item = f"{self.id_prefix}{stream.kind}-{self._request_count}"
            self._tasks.start_soon(self.request, stream, item, random_source.random())
            due_seconds += random_source.expovariate(stream.requests_per_second)

    async def request(self, stream, item, entrance_choice=0.0):
        """Make one customer request, with its retries, and return the `Result`.

        Parameters
        ----------
        entrance_choice : float
            Position of the first entrance among all, from 0 to below 1; each retry
            goes to the next entrance.
        """
        result = Result(
            stream.kind,
            stream.rank,
            item,
            anyio.current_time(),
            deadline_seconds=stream.deadline_seconds,
        )
        entrances = self.entrances()
        first_index = int(entrance_choice * len(entrances))
        ticket = None
        for attempt in range(stream.retries + 1):
            entrance = entrances[(first_index + attempt) % len(entrances)]
            ticket = await self._attempt(stream, item, entrance, ticket, result)
            if result.outcome == "completed":
                break
        result.duration_seconds = anyio.current_time() - result.sent_at
        self.results.append(result)
        return result

    async def _attempt(self, stream, item, entrance, ticket, result):
        """Make one attempt and return the ticket for the next one, or None.

        If the response requires a ticket (428), the request is sent again with the
        ticket that the response offers.
        """
        for _ in range(MAX_HTTP_REQUESTS_PER_ATTEMPT):
            headers = {ITEM_HEADER.decode(): item}
            if ticket:
                headers[TICKET_HEADER.decode()] = ticket
            result.http_requests_sent += 1
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
