"""Some answers of a faulty endpoint go on without end.

For five seconds, one of two endpoints is in trouble and spoils a part of its answers:
the body has no end and goes on until the caller closes.
"""

import random
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

REQUESTS_PER_SECOND = 120
TROUBLE_SECONDS = 5.0
FAULTY_SHARE = 0.05
TIMEOUT_MS = 1500
LIMIT_MS = 5000
LATE_SECONDS = 0.5
# Fewer requests that outlast their route's timeout are not judged.
MIN_COUNTED = 8
AFTERWARDS_SECONDS = 4.0
WHOLE = bytes(2000)
PIECE = bytes(16_384)


class Faults:
    def __init__(self):
        self.is_on = False
        # One of the two endpoints.
        self.endpoint = None
        self.draws = random.Random(8)

    async def run(self, endpoint, request):
        await asyncio.sleep(0.02)
        is_faulty = self.is_on and endpoint is self.endpoint
        if not is_faulty or self.draws.random() >= FAULTY_SHARE:
            request.write_answer(WHOLE)
            return
        request.is_faulty = True
        request.write_head(
            200, [("server-seal", "lab"), ("transfer-encoding", "chunked")]
        )
        while True:
            request.writer.write(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
            await request.writer.drain()
            await asyncio.sleep(0.1)


async def send_one(machine, answers):
    client = Client(machine)
    answers.append(await client.send("GET", "/stock/a", new_attempt(), b"", LIMIT_MS))
    client.close()


async def play(record, has_trouble):
    faults = Faults()
    async with Lab(record, {"shop": 1, "stock": 2}, faults.run, slots=248) as lab:
        lab.configure({"/stock/": {"service": "stock", "timeoutMs": TIMEOUT_MS}})
        await lab.wait_until_ready()
        entrance = lab.of("shop")[0]
        faults.endpoint = lab.of("stock")[0].endpoint
        faults.is_on = has_trouble
        answers, tasks = [], []
        for _ in range(int(TROUBLE_SECONDS * REQUESTS_PER_SECOND)):
            tasks.append(asyncio.create_task(send_one(entrance, answers)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        faults.is_on = False
        await asyncio.gather(*tasks)
        await asyncio.sleep(AFTERWARDS_SECONDS)
        return judge(lab, record, answers)


def judge(lab, record, answers):
    """Return whether CONFIG was broken.

    Counted are the requests that are unanswered at their route's timeout. An answer
    that is cut counts as the end of a request.
    """
    seconds = [answer.ended_at - answer.sent_at for answer in answers]
    timeout = TIMEOUT_MS / 1000
    counted = sum(s > timeout for s in seconds)
    late = sum(s > timeout + LATE_SECONDS for s in seconds)
    record.write(f"{len(answers)} requests, by status and whether the answer is whole:")
    record.write(str(dict(Counter((a.status, a.is_complete) for a in answers))))
    faulty = [r for r in lab.arrivals if getattr(r, "is_faulty", False)]
    record.write(f"{len(faulty)} answers without end")
    record.write(
        f"{counted} requests had no final answer at {timeout} s, and {late} of them "
        f"none at {timeout + LATE_SECONDS} s; the longest took {max(seconds):.2f} s"
    )
    now = time.monotonic()
    running = [now - r.started_at for r in faulty if r.ended_at is None]
    oldest = max(running, default=0.0)
    record.write(
        f"{len(running)} endpoints' runs still go on {AFTERWARDS_SECONDS} s after the "
        f"last client left, the oldest for {oldest:.1f} s"
    )
    return counted >= MIN_COUNTED and late > counted / 2


run_case(Path(__file__).parent, play)
