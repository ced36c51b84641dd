"""Reports of the backend server beside the node, and queries of its id."""

import anyio

from ragworthoist.core.server_lifecycle import ReportVerdict, ServerState
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import ExchangeError, ReportError
from ragworthoist.platform.headers import read_response_metadata
from ragworthoist.platform.reports import decode_heartbeat, parse_report_target

VERIFY_RETRY_SECONDS = 0.5
# Short, because routes arrive some tens of milliseconds after the node starts, and no
# call is forwarded before the id of the server is known.
ROUTES_POLL_SECONDS = 0.02
VERIFY_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 64 * 1024
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class ServerReports:
    """Processes the server's reports, and queries its id after the node starts.

    Parameters
    ----------
    node : EdgeNode
        Supplies `lifecycle`, `clock`, `policy`, `apply_server_state`, `settings` and
        `server_client`.
    """

    def __init__(self, node):
        self._node = node

    async def handle(self, request):
        """Serve one `Request`: a heartbeat or a deregistration."""
        parsed = parse_report_target(request.target)
        if parsed is None or request.method != "POST":
            await request.respond(404, _JSON_HEADERS, b"{}")
            return
        if not isinstance(request.body, bytes):
            await request.respond(413, _JSON_HEADERS, b"{}", close=True)
            return
        is_heartbeat, instance = parsed
        now = self._node.clock()
        if is_heartbeat:
            status = self._process_heartbeat(instance, request.body, now)
        else:
            self._node.lifecycle.deregister(instance, now)
            status = 200
        # The response acknowledges the report, so the new state is applied first.
        await self._node.apply_server_state(now)
        await request.respond(status, _JSON_HEADERS, b"{}")

    async def verify_server(self):
        """Query the server for its id until the server responds or sends a report.

        The path to query is part of the configuration, so queries wait for that.
        """
        node = self._node
        while node.lifecycle.state is ServerState.UNKNOWN:
            if node.policy is None:
                await anyio.sleep(ROUTES_POLL_SECONDS)
            elif await self._query_server_id():
                return
            else:
                await anyio.sleep(VERIFY_RETRY_SECONDS)

    def _process_heartbeat(self, instance, raw, now):
        try:
            report = decode_heartbeat(instance, raw)
        except ReportError as error:
            log_event(Event.REPORT_REFUSED, server=instance, error=str(error))
            return 400
        verdict = self._node.lifecycle.process_report(report, now)
        if verdict is ReportVerdict.FOREIGN:
            log_event(
                Event.REPORT_REFUSED,
                server=instance,
                error=f"{report.service} at {report.address} is not this node's server",
            )
            return 400
        return 200

    async def _query_server_id(self):
        """Query the id once; return False if the query has to be repeated."""
        node = self._node
        service = node.policy.service(node.settings.node.service)
        if service is None:
            return True
        host = node.lifecycle.address
        head = f"GET {service.health_path} HTTP/1.1\r\nhost: {host}\r\n\r\n"
        try:
            with anyio.fail_after(VERIFY_TIMEOUT_SECONDS):
                sent_at = node.clock()
                # The response has no attempt id.
                response = await node.server_client.send(
                    head.encode(), uses_own_connection=True
                )
        except (TimeoutError, ExchangeError) as error:
            log_event(
                Event.REPORT_REFUSED,
                server="",
                error=str(error) or "no response in time to the query of the id",
            )
            return False
        if not isinstance(response.body, bytes):
            response.body.discard()
        metadata = read_response_metadata(response)
        if metadata.instance:
            self._apply_identity(metadata, response.status == 200, sent_at)
        # Any response ends the queries: a leaving or failing server sends reports.
        return True

    def _apply_identity(self, metadata, is_healthy, sent_at):
        """Apply the answer of a server that has named its id."""
        node = self._node
        now = node.clock()
        lifecycle = node.lifecycle
        if is_healthy and not metadata.is_leaving:
            lifecycle.verify(metadata.instance, now)
        elif metadata.is_leaving:
            # A report that the server is ready may be older than this answer.
            lifecycle.verify_leaving(metadata.instance, now)
        if metadata.instance == lifecycle.instance:
            node.forwarder.notices.record_response(
                metadata, lifecycle.process_number, sent_at, now
            )
