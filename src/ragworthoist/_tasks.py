"""Tasks of a node whose faults are logged and contained.

The tasks of single calls are plain asyncio tasks: anyio's task groups cost several
times as much for each task, see docs/MEASUREMENTS.md. Loops and what must be ready
before the node goes on belong to an anyio task group.
"""

import asyncio

import anyio

from ragworthoist.events import Event, log_event

RESTART_DELAY_SECONDS = 0.1


class TaskPool:
    """Starts tasks in a task group; the fault of one task ends only that task.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        The group that owns the tasks.
    """

    def __init__(self, group):
        self._group = group
        self._call_tasks = set()
        self.failures = 0

    def start_soon(self, function, *arguments):
        """Start a task that logs its fault instead of ending the node."""
        task = asyncio.create_task(self._run_logged(function, arguments))
        # The event loop itself keeps only weak references to tasks.
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    def cancel(self):
        """Cancel all tasks that are under way."""
        for task in list(self._call_tasks):
            task.cancel()
        self._group.cancel_scope.cancel()

    def keep_running(self, function, *arguments):
        """Start a loop that is begun again after a fault."""
        self._group.start_soon(self._run_forever, function, arguments)

    async def start(self, function, *arguments):
        """Start a task the node cannot do without, and wait until it is ready."""
        return await self._group.start(function, *arguments)

    async def _run_forever(self, function, arguments):
        while True:
            await self._run_logged(function, arguments)
            await anyio.sleep(RESTART_DELAY_SECONDS)

    async def _run_logged(self, function, arguments):
        try:
            await function(*arguments)
        except Exception as error:
            self.failures += 1
            name = getattr(function, "__qualname__", repr(function))
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
