"""Stand-in for a backend server, with slots, service times, faults and records.

Every run of a request is recorded with the id that the customer gave it, so that
the outcomes reported to callers can be compared with what ran.
"""

import hashlib
import json
import random
from dataclasses import dataclass, field

import aiohttp
import anyio

from ragworthoist.exceptions import CallerGoneError
from ragworthoist.net.web import (
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    find_header,
    read_body,
    respond,
)
from ragworthoist_lab.web import (
    MAX_BODY_BYTES,
    read_json,
    respond_json,
    run_application,
)

ITEM_HEADER = b"x-lab-item"
CONTROL_PREFIX = "/.lab/"
ONWARD_TIMEOUT_SECONDS = 30


@dataclass(slots=True)
class Behaviour:
    """How the server behaves; `POST /.lab/behaviour` changes single fields.

    Parameters
    ----------
    slots : int
        Requests that the server works on at the same time. It is fixed by the first
        HTTP request of any kind, so `POST /.lab/behaviour` has no effect on it.
    service_seconds : float
        Mean service time of a request.
    slow_factor : float
        Factor applied to the service time.
    fail_share : float
        Share of the requests that run and are answered with 503.
    refuse_share : float
        Share of the requests that the server refuses and reports as not run.
    repeats : int
        How often the server itself retries a failed onward call.
    drop_context : bool
        Whether onward calls omit the header with the token of the request.
    relay : bool
        Whether the response to a request whose onward call failed has outcome
        headers: that of the onward call, and a not-run header with a wrong token.
    answer_bytes : int
        Minimum size of a response body; shorter ones are padded with spaces.
    healthy : bool
        Whether the health check succeeds.
    """

    slots: int = 4
    service_seconds: float = 0.02
    slow_factor: float = 1.0
    fail_share: float = 0.0
    refuse_share: float = 0.0
    repeats: int = 0
    drop_context: bool = False
    relay: bool = False
    answer_bytes: int = 0
    healthy: bool = True


@dataclass(slots=True)
class StandInServer:
    """An ASGI application that serves every path of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    onward_url : str
        URL of the node's address for onward calls, empty without a node.
    onward : list of str
        "METHOD /path" of the calls made for each request other than GET.
    """

    service: str
    onward_url: str
    onward: list
    behaviour: Behaviour = field(default_factory=Behaviour)
    records: list = field(default_factory=list)
    random_source: random.Random = field(default_factory=lambda: random.Random(1))
    slot_semaphore: anyio.Semaphore = None
    session: aiohttp.ClientSession = None

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            timeout = aiohttp.ClientTimeout(total=ONWARD_TIMEOUT_SECONDS)
            self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
            self.slot_semaphore = anyio.Semaphore(self.behaviour.slots)
        if scope["path"].startswith(CONTROL_PREFIX):
            await self._control(scope["path"], receive, send)
            return
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except CallerGoneError:
            return
        await self._serve(scope, body, send)

    async def _control(self, path, receive, send):
        action = path.removeprefix(CONTROL_PREFIX)
        if action == "records":
            await respond_json(send, self.records)
        elif action == "forget":
            self.records.clear()
            await respond(send, 204)
        elif action == "behaviour":
            for name, value in (await read_json(receive)).items():
                setattr(self.behaviour, name, value)
            await respond(send, 204)
        elif action == "health":
            healthy = self.behaviour.healthy
            await respond_json(send, {"healthy": healthy}, 200 if healthy else 503)
        else:
            await respond(send, 404)

    async def _serve(self, scope, body, send):
        headers = scope["headers"]
        request_token = find_header(headers, REQUEST_HEADER)
        item = find_header(headers, ITEM_HEADER).decode()
        behaviour = self.behaviour
        if self.random_source.random() < behaviour.refuse_share:
            await respond(send, 503, [(NOT_RUN_HEADER, request_token)])
            return
        run = {"item": item, "path": scope["path"], "method": scope["method"]}
        self.records.append(run | {"run": len(self.records)})
        async with self.slot_semaphore:
            await anyio.sleep(self._sample_service_seconds())
        if self.random_source.random() < behaviour.fail_share:
            await respond(send, 503)
            return
        if scope["method"] != "GET":
            failure_headers = await self._call_onward(item, request_token, body)
            if failure_headers is not None:
                await respond(send, 503, failure_headers)
                return
        await self._answer(item, body, send)

    def _sample_service_seconds(self):
        mean = self.behaviour.service_seconds * self.behaviour.slow_factor
        return mean * (0.5 + self.random_source.random())

    async def _answer(self, item, body, send):
        digest = hashlib.sha256(body).hexdigest()
        answer = {"service": self.service, "item": item, "digest": digest}
        raw = json.dumps(answer).encode()
        raw += b" " * max(0, self.behaviour.answer_bytes - len(raw))
        await respond(send, 200, [(b"content-type", b"application/json")], raw)

    async def _call_onward(self, item, request_token, body):
        """Return None if all onward calls succeed, else headers of the response."""
        for call in self.onward:
            method, path = call.split(" ")
            for _ in range(self.behaviour.repeats + 1):
                status, outcome = await self._call_once(
                    method, path, item, request_token, body
                )
                if status < 300:
                    break
            else:
                relayed = [
                    (OUTCOME_HEADER, outcome),
                    (NOT_RUN_HEADER, request_token[::-1]),
                ]
                return relayed if self.behaviour.relay else []
        return None

    async def _call_once(self, method, path, item, request_token, body):
        """Return status and outcome of an onward call, 599 and b"" without response."""
        headers = {ITEM_HEADER.decode(): item}
        if not self.behaviour.drop_context:
            headers[REQUEST_HEADER.decode()] = request_token.decode()
        try:
            async with self.session.request(
                method, self.onward_url + path, data=body or None, headers=headers
            ) as response:
                await response.read()
                outcome = response.headers.get(OUTCOME_HEADER.decode(), "").encode()
                return response.status, outcome
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 599, b""


def run_server(
    service: str,
    port: int,
    *,
    onward_url: str = "",
    onward: list[str] = (),
    slots: int = 4,
    service_ms: float = 20.0,
    seed: int = 1,
):
    """Run the stand-in for a backend server on loopback.

    :param service: name of the service
    :param port: port to listen on
    :param onward_url: URL of the node's address for onward calls
    :param onward: calls made for requests other than GET, such as 'POST /stock/reserve'
    :param slots: requests that the server works on at the same time
    :param service_ms: mean service time without onward calls, in milliseconds
    :param seed: seed of the server's random choices
    """
    behaviour = Behaviour(slots=slots, service_seconds=service_ms / 1000)
    server = StandInServer(service, onward_url, list(onward), behaviour)
    server.random_source = random.Random(seed)
    run_application(server, port)
