"""Clients that leave while an answer is delivered to them: its source has to stop.

Otherwise what was received of the answer stays in memory, and the server works on.
"""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from fakes import complete

from ragworthoist.core.entities import Outcome
from ragworthoist.edge.dispatching import AttemptDispatcher
from ragworthoist.edge.entrance import AttemptEntrance
from ragworthoist.exceptions import BodyCutError, CallerGoneError
from ragworthoist.net.bodies import BodyPipe


@dataclass
class Source:
    """The source of a streamed answer; `stopped` is set once it is not needed."""

    stopped: asyncio.Event = field(default_factory=asyncio.Event)

    def make_answer(self, status=200):
        pipe = BodyPipe(on_discard=self.stopped.set)
        pipe.feed(b"x" * 70_000)
        answer = complete(pipe)
        answer.status = status
        return answer


def raise_error(error):
    async def respond(*_arguments):
        raise error

    return respond


async def respond_for_ever(*_arguments):
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("respond", "is_cancelled"),
    [
        (raise_error(CallerGoneError()), False),
        (raise_error(BodyCutError()), False),
        (respond_for_ever, True),
    ],
    ids=["gone", "cut", "cancelled"],
)
def test_server_works_on_for_a_client_that_left_in_its_answer(respond, is_cancelled):
    async def run():
        source = Source()
        entrance = AttemptEntrance(SimpleNamespace())
        request = SimpleNamespace(respond=respond)
        delivery = asyncio.ensure_future(
            entrance._deliver(request, b"a", None, source.make_answer(), 1.0)
        )
        await asyncio.sleep(0)
        if is_cancelled:
            delivery.cancel()
        await asyncio.wait([delivery])
        return source.stopped.is_set()

    assert asyncio.run(run())


class Attempts(AttemptDispatcher):
    """Gets the answers in `script`; waits for ever after the last one."""

    def __init__(self, script):
        node = SimpleNamespace(clock=lambda: 0.0)
        super().__init__(node)
        self._script = list(script)

    def _choose_endpoint(self, *_arguments):
        return SimpleNamespace(instance=b"e"), None

    async def _call_endpoint(self, _endpoint, _call):
        if not self._script:
            await asyncio.Event().wait()
        return self._script.pop(0)

    def _may_retry(self, _call, answer, _retries):
        return answer.status >= 500

    def _log_retry(self, *_arguments):
        return


@pytest.mark.parametrize(
    ("statuses", "stopped"),
    [
        ([200], [False]),
        ([500, 200], [True, False]),
        ([500, 503, 200], [True, True, False]),
        # The client leaves during the next attempt.
        ([500], [True]),
    ],
)
def test_server_works_on_for_an_answer_that_another_one_replaces(statuses, stopped):
    async def run():
        sources = [Source() for _ in statuses]
        script = [
            source.make_answer(status)
            for source, status in zip(sources, statuses, strict=True)
        ]
        call = SimpleNamespace(deadline=1.0)
        dispatching = asyncio.ensure_future(Attempts(script).dispatch(call))
        done, _ = await asyncio.wait([dispatching], timeout=0.1)
        if done:
            assert dispatching.result().outcome is Outcome.COMPLETED
        else:
            dispatching.cancel()
            await asyncio.wait([dispatching])
        return [source.stopped.is_set() for source in sources]

    assert asyncio.run(run()) == stopped
