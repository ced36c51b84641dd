"""The two nodes that watch the store are partitioned from it, and a route moves.

All machines are in one zone. The others keep their way to the store all the time, and
nothing happens to their processes or links.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import (  # noqa: E402
    Client,
    Counter,
    Lab,
    asyncio,
    new_attempt,
    run_case,
    time,
)

CONFIG_APPLY_SECONDS = 2.0
STABLE_SECONDS = 3.0
CUT_AFTER_SECONDS = 0.5
CHANGE_AFTER_SECONDS = 0.3
CUT_SECONDS = 5.0
PAUSE_SECONDS = 0.02
CUT_MACHINES = 2
WATCH_ROUNDS = 10


async def run(endpoint, request):
    await asyncio.sleep(0.01)
    request.write_answer(endpoint.machine.service.encode())


async def find_watchers(lab):
    """Return the two machines that have watched the store for a second."""
    for _ in range(WATCH_ROUNDS):
        counts = Counter()
        for _ in range(10):
            for machine in lab.machines:
                state = await machine.read_state()
                counts[machine] += state["configuration_watch"]["watching"]
            await asyncio.sleep(0.1)
        # A watch that has just been answered is started again at once.
        found = [machine for machine in lab.machines if counts[machine] >= 5]
        if len(found) == CUT_MACHINES:
            return found
    raise RuntimeError("there are not two watchers")


async def send_on(machine, stop_at, answers):
    client = Client(machine)
    while time.monotonic() < stop_at:
        answer = await client.send("POST", "/order/a", new_attempt(), b"roll", 2000)
        answers.append(answer)
        await asyncio.sleep(PAUSE_SECONDS)
    client.close()


async def play(record, has_trouble):
    async with Lab(record, {"shop": 2, "old": 2, "new": 2}, run, zones="a") as lab:
        lab.configure({"/order/": {"service": "old", "routeKind": "unsafe"}})
        await lab.wait_until_ready()
        # All machines are in touch by then.
        await asyncio.sleep(STABLE_SECONDS + 1.0)
        watchers = await find_watchers(lab)
        record.write(f"nodes that watch the store: {[m.name for m in watchers]}")
        # An earlier change, that adds a route.
        lab.configure(
            {
                "/order/": {"service": "old", "routeKind": "unsafe"},
                "/added/": {"service": "old"},
            }
        )
        await asyncio.sleep(CUT_AFTER_SECONDS)
        if has_trouble:
            lab.store.cut_off.update(watchers)
            record.write("they are partitioned from the store")
        cut_at = time.monotonic()
        await asyncio.sleep(CHANGE_AFTER_SECONDS)
        lab.configure({"/order/": {"service": "new", "routeKind": "unsafe"}})
        confirmed_at = time.monotonic()
        record.write("the route moves from `old` to `new`, confirmed")
        answers = {machine: [] for machine in lab.machines if machine not in watchers}
        stop_at = cut_at + CUT_SECONDS
        await asyncio.gather(
            *(send_on(machine, stop_at, found) for machine, found in answers.items())
        )
        lab.store.cut_off.clear()
        return judge(record, answers, confirmed_at)


def judge(record, answers, confirmed_at):
    """Return whether CONFIG was broken, at the machines that were not partitioned."""
    late = 0
    for machine, found in answers.items():
        old = [a.sent_at - confirmed_at for a in found if a.body == b"old"]
        count = sum(seconds > CONFIG_APPLY_SECONDS for seconds in old)
        late += count
        record.write(
            f"{machine.name}: {len(found)} requests, "
            f"{dict(Counter((a.status, a.body.decode()) for a in found))}; "
            f"{count} sent over {CONFIG_APPLY_SECONDS} s after the confirmation were "
            f"run by the old service, the last sent after {max(old, default=0.0):.2f} s"
        )
    return late > 0


run_case(Path(__file__).parent, play)
