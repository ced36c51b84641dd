"""What the backend server beside the node says of itself."""

import anyio

from ragworthoist.core.server_lifecycle import ReportVerdict, ServerState
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import ExchangeError, ReportError
from ragworthoist.platform.headers import read_verdict
from ragworthoist.platform.reports import decode_heartbeat, split_call

VERIFY_RETRY_SECONDS = 0.5
# Routes arrive some tens of milliseconds after a start, and no call is handed over
# before the server is known.
ROUTES_POLL_SECONDS = 0.02
VERIFY_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 64 * 1024
_JSON = ((b"content-type", b"application/json"),)


class ServerReports:
    """Answers the server's reports, and asks the server who it is after a start.

    Parameters
    ----------
    node : EdgeNode
        Supplies `life`, `clock`, `policy`, `note_server`, `server_client`.
    """

    def __init__(self, node):
        self._node = node

    async def handle(self, request):
        """Serve one `Request`: a heartbeat or a deregistration."""
        call = split_call(request.target)
        if call is None or request.method != "POST":
            await request.respond(404, _JSON, b"{}")
            return
        if not isinstance(request.body, bytes):
            await request.respond(413, _JSON, b"{}", close=True)
            return
        is_heartbeat, instance = call
        now = self._node.clock()
        if is_heartbeat:
            status = self._take(instance, request.body, now)
        else:
            self._node.life.deregister(instance, now)
            status = 200
        # The answer binds: what it acknowledges is in force before it is sent.
        await self._node.note_server(now)
        await request.respond(status, _JSON, b"{}")

    async def verify_server(self):
        """Ask the server for its id until it is known, once the path is known."""
        node = self._node
        while node.life.state is ServerState.UNKNOWN:
            if node.policy is None:
                await anyio.sleep(ROUTES_POLL_SECONDS)
            elif await self._ask():
                return
            else:
                await anyio.sleep(VERIFY_RETRY_SECONDS)

    def _take(self, instance, raw, now):
        try:
            report = decode_heartbeat(instance, raw)
        except ReportError as error:
            log_event(Event.REPORT_REFUSED, server=instance, error=str(error))
            return 400
        verdict = self._node.life.process_report(report, now)
        if verdict is ReportVerdict.FOREIGN:
            log_event(
                Event.REPORT_REFUSED,
                server=instance,
                error=f"{report.service} at {report.address} is not the server here",
            )
            return 400
        return 200

    async def _ask(self):
        node = self._node
        service = node.policy.service(node.settings.node.service)
        if service is None:
            return True
        host = node.life.address
        head = f"GET {service.health_path} HTTP/1.1\r\nhost: {host}\r\n\r\n"
        try:
            with anyio.fail_after(VERIFY_TIMEOUT_SECONDS):
                response = await node.server_client.send(head.encode())
        except (TimeoutError, ExchangeError) as error:
            log_event(Event.REPORT_REFUSED, server="", error=str(error) or "timeout")
            return False
        if not isinstance(response.body, bytes):
            response.body.discard()
        instance = read_verdict(response).instance
        if response.status == 200 and instance:
            node.life.verify(instance, node.clock())
        # Any answer ends the asking: a leaving or failing server will report itself.
        return True
