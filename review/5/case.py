"""Requests with long heads, inside the limit, are refused for good if they arrive in parts."""

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import HOST, LIMITS, Fleet, make_rule, read_message, run_case  # noqa: E402

# `maxHeaderBytes` is 16,384. The heads of these clients stay a quarter below it.
HEAD_BYTES = 12_000
REQUESTS = 60
# The head arrives in two parts, well within `headerTimeoutMs` (3,000).
FIRST_PART_BYTES = 9_000
PART_INTERVAL_SECONDS = 0.05
SETTLE_SECONDS = 3.5
# The rule: more than 5, and one in 500 of all requests.
DENIED_ALLOWED = 5
DENIED_ALLOWED_SHARE = 1 / 500


def make_body(attempt):
    return attempt.encode() * 10


def make_head(attempt):
    head = (
        f"POST /order/a HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {attempt}\r\n"
        "deadline-ms: 5000\r\ncontent-length: 2\r\ncookie: "
    )
    return head + "c" * (HEAD_BYTES - len(head) - 4) + "\r\n\r\n"


async def send_order(machine, has_trouble, record):
    """Send one order on a connection of its own; return the status of its answer."""
    attempt = f"o-{os.urandom(5).hex()}"
    head = make_head(attempt).encode()
    assert len(head) < LIMITS["maxHeaderBytes"]
    reader, writer = await asyncio.open_connection(*machine.outbound)
    try:
        if has_trouble:
            writer.write(head[:FIRST_PART_BYTES])
            await asyncio.sleep(PART_INTERVAL_SECONDS)
            writer.write(head[FIRST_PART_BYTES:] + b"{}")
        else:
            writer.write(head + b"{}")
        async with asyncio.timeout(6):
            line, headers, _ = await read_message(reader)
        status = int(line.split()[1])
        is_own = "server-seal" not in headers
        record(f"order {attempt}, head of {len(head)} bytes: {status}")
        return status, is_own
    except (OSError, EOFError, TimeoutError) as error:
        record(f"order {attempt}: {error!r}")
        return type(error).__name__, True
    finally:
        writer.close()


async def main(record, has_trouble):
    rules = {"/order/": make_rule("orders", "unsafe", 5000, 2500)}
    async with Fleet({"orders": 3, "shop": 1}, record) as fleet:
        await fleet.start(make_body, rules)
        await asyncio.sleep(SETTLE_SECONDS)
        answers = []
        for number in range(REQUESTS):
            machine = fleet.machines[number % len(fleet.machines)]
            answers.append(await send_order(machine, has_trouble, record))
        denied = [
            status
            for status, is_own in answers
            if is_own and status in range(300, 500) and status not in (408, 421, 429)
        ]
        allowed = DENIED_ALLOWED + DENIED_ALLOWED_SHARE * REQUESTS
        record(f"answers: {dict(Counter(answers))}")
        record(f"runs at endpoints: {sum(len(e.runs) for e in fleet.endpoints)}")
        record(f"proper requests ended with 3xx or 4xx: {len(denied)} (allowed: {allowed})")
        return len(denied) <= allowed


run_case(Path(__file__).parent, main)
