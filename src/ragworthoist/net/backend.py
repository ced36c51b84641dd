"""HTTP client for the backend server beside this node."""

import aiohttp
from yarl import URL

from ragworthoist.core.entities import Answer, Outcome, Reason
from ragworthoist.core.memory import MemoryBudget
from ragworthoist.net.exchanges import MAX_STATUS
from ragworthoist.net.frames import MAX_BODY_BYTES
from ragworthoist.net.web import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_HEADER,
    forward_headers,
)

KEEPALIVE_SECONDS = 4.0
# Smallest status of a final response. 101 is none, as no upgrade is offered.
MIN_FINAL_STATUS = 200
RETRYABLE_STATUSES = frozenset({502, 503, 504})
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class BackendClient:
    """Forwards calls to one backend server.

    Parameters
    ----------
    address : tuple
        (host, port) of the backend server.
    memory : MemoryBudget, optional
        Counts the responses that are being received.
    """

    def __init__(self, address, memory=None):
        self._memory = memory or MemoryBudget()
        host, port = address
        self._base_url = f"http://{host}:{port}"
        self._session = None

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp retries idempotent requests if a reused connection was closed. Such
        # a retry would not be counted in the retry allowance, so it is switched off.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *_exception):
        await self._session.close()

    async def send(self, call, token, remaining):
        """Forward `call` to the server and return the `Answer`.

        The outcome is not-run only if no byte has reached the server, or if the
        server itself states it for this `token`.

        Parameters
        ----------
        call : Call
            The call to forward.
        token : str
            Identifies the call in its onward calls and in a not-run response.
        remaining : float
            Seconds until the deadline of the call.
        """
        headers = [(n.decode("latin1"), v.decode("latin1")) for n, v in call.headers]
        headers.append((REQUEST_HEADER.decode(), token))
        headers.append((DEADLINE_HEADER.decode(), str(int(remaining * 1000))))
        try:
            async with self._session.request(
                call.method,
                URL(self._base_url + call.target, encoded=True),
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=remaining),
            ) as response:
                body = await self._read(response)
                return _make_answer(response, body, token)
        except aiohttp.ClientConnectorError:
            return Answer(Outcome.NOT_RUN, Reason.SERVER_UNREACHABLE)
        except TimeoutError:
            return Answer(Outcome.UNKNOWN, Reason.DEADLINE)
        except (aiohttp.ClientError, OSError, ValueError):
            return Answer(Outcome.UNKNOWN, Reason.SERVER_LOST)

    async def _read(self, response):
        """Return the body, or None if it is longer than `MAX_BODY_BYTES`."""
        declared = response.content_length
        if declared is not None and declared > MAX_BODY_BYTES:
            return None
        body = bytearray()
        # The number of responses is bounded by the limit of calls at the server, so
        # others are evicted for them.
        with self._memory.open_account() as account:
            async for part in response.content.iter_any():
                body += part
                account.add(len(part))
                if len(body) > MAX_BODY_BYTES:
                    return None
            return bytes(body)


def _make_answer(response, body, token):
    if body is None:
        return Answer(Outcome.UNKNOWN, Reason.TOO_LARGE, retryable=False)
    status = response.status
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        return Answer(Outcome.UNKNOWN, Reason.SERVER_GARBLED)
    if status == 503 and response.headers.get(NOT_RUN_HEADER.decode()) == token:
        return Answer(Outcome.NOT_RUN, Reason.SERVER_REFUSED, status)
    headers = forward_headers(
        (name.lower(), value) for name, value in response.raw_headers
    )
    if status < 500:
        return Answer(Outcome.COMPLETED, Reason.ANSWERED, status, headers, body)
    retryable = status in RETRYABLE_STATUSES
    return Answer(
        Outcome.UNKNOWN, Reason.SERVER_ERROR, status, headers, body, 0, retryable
    )
