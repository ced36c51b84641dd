"""A node is killed after it has confirmed that its endpoint leaves.

The endpoint is one that reports no draining, but deregisters first and goes on serving
for some time. A ping that it had sent before arrives seconds late, at the new process.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import (  # noqa: E402
    DRAIN_MS,
    RESTART_DELAY_SECONDS,
    Client,
    Counter,
    Lab,
    asyncio,
    new_attempt,
    run_case,
    signal,
    time,
)

WORK_SECONDS = 0.3
STABLE_SECONDS = 3.0
KILL_AFTER_SECONDS = 0.2
# The machine is in touch again by then.
PING_AFTER_SECONDS = 4.5
ENDPOINT_EXIT_AFTER_SECONDS = 9.0
CLIENTS = 8
PAUSE_SECONDS = 0.05


async def run(_endpoint, request):
    await asyncio.sleep(WORK_SECONDS)
    request.write_answer(b"stored")


class Play:
    def __init__(self, lab, record):
        self.lab = lab
        self.record = record
        self.answers = []
        self.leaving, *_ = lab.of("stock")
        self.is_over = False

    async def send_on(self):
        """Send requests to the node of the leaving endpoint while it is ready."""
        client = Client(self.leaving)
        while not self.is_over:
            # The platform sends no new work to a node that is not ready.
            if client.writer is None and not await self.leaving.is_ready():
                await asyncio.sleep(0.2)
                continue
            answer = await client.send("POST", "/order/a", new_attempt(), b"roll", 3000)
            self.answers.append(answer)
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()


async def play(record, has_trouble):
    async with Lab(record, {"shop": 1, "stock": 2}, run, slots=64) as lab:
        lab.configure({"/order/": {"service": "stock", "routeKind": "unsafe"}})
        await lab.wait_until_ready()
        play = Play(lab, record)
        clients = [asyncio.create_task(play.send_on()) for _ in range(CLIENTS)]
        await asyncio.sleep(2.0)
        endpoint = play.leaving.endpoint
        endpoint.is_beating = False
        late_ping = endpoint.make_beat()
        endpoint.state = "leaving"
        status = await endpoint.deregister()
        if status != 200:
            raise RuntimeError(f"the deregistration got status {status}")
        confirmed_at = time.monotonic()
        record.write(f"deregistration of {endpoint.id} confirmed")
        if has_trouble:
            await asyncio.sleep(KILL_AFTER_SECONDS)
            play.leaving.signal(signal.SIGKILL)
            await play.leaving.wait_for_exit(2.0)
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            play.leaving.start_node()
            restarted_at = time.monotonic()
            record.write(f"node killed, and started again at {_since(confirmed_at)}")
            await asyncio.sleep(confirmed_at + PING_AFTER_SECONDS - time.monotonic())
            if time.monotonic() - restarted_at < STABLE_SECONDS:
                raise RuntimeError("the machine is not in touch yet")
            status = await endpoint.send(*late_ping)
            record.write(f"late ping got status {status} at {_since(confirmed_at)}")
        left = confirmed_at + ENDPOINT_EXIT_AFTER_SECONDS - time.monotonic()
        await asyncio.sleep(left)
        at_work = {request.attempt for request in endpoint.active}
        endpoint.close()
        play.is_over = True
        await asyncio.gather(*clients)
        return judge(play, endpoint, confirmed_at, at_work)


def judge(play, endpoint, confirmed_at, at_work):
    """Return whether DRAIN was broken."""
    record = play.record
    limit = confirmed_at + DRAIN_MS / 1000
    at_endpoint = [r for r in play.lab.arrivals if r.endpoint is endpoint]
    late = [r for r in at_endpoint if r.started_at > limit]
    record.write(f"answers by status: {dict(Counter(a.status for a in play.answers))}")
    record.write(f"{len(at_endpoint)} requests reached the leaving endpoint in all")
    for request in late[:3] + late[-1:]:
        after = request.started_at - confirmed_at
        record.write(f"request {request.attempt} reached it {after:.2f} s after")
    lost = [a for a in play.answers if a.attempt in at_work and a.status != 200]
    record.write(
        f"{len(late)} requests reached it later than {DRAIN_MS} ms after the "
        f"confirmation; {len(lost)} were lost when it ended"
    )
    return bool(late)


def _since(moment):
    return f"{time.monotonic() - moment:.2f} s after the confirmation"


run_case(Path(__file__).parent, play)
