"""Tasks of a node, whose errors are logged and do not stop the node.

The tasks of single calls are plain asyncio tasks: a task of an anyio task group costs
several times as much, see docs/MEASUREMENTS.md. Loops, and tasks that have to be
ready before the node continues, run in an anyio task group.
"""

import asyncio

import anyio

from ragworthoist.events import Event, log_event

RESTART_DELAY_SECONDS = 0.1


class TaskPool:
    """Starts the tasks of a node; an error in one task ends only that task.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        The group for loops and for tasks that have to become ready.

    Attributes
    ----------
    failures : int
        Number of tasks that ended with an error.
    """

    def __init__(self, group):
        self._group = group
        self._call_tasks = set()
        self.failures = 0

    def start_soon(self, function, *arguments):
        """Start a task that logs its error instead of stopping the node."""
        task = asyncio.create_task(self._run_logged(function, arguments))
        # The event loop keeps only weak references to tasks.
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    def cancel(self):
        """Cancel all running tasks."""
        for task in list(self._call_tasks):
            task.cancel()
        self._group.cancel_scope.cancel()

    def keep_running(self, function, *arguments):
        """Start a loop that is restarted after an error."""
        self._group.start_soon(self._run_forever, function, arguments)

    async def start(self, function, *arguments):
        """Start a task whose error stops the node, and wait until it is ready."""
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
