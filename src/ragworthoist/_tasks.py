"""Tasks of a node whose faults are logged and contained."""

import anyio

from ragworthoist.events import Event, log_event

RESTART_SECONDS = 0.1


class TaskPool:
    """Starts tasks in a task group; the fault of one task ends only that task.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        The group that owns the tasks.
    """

    def __init__(self, group):
        self._group = group
        self.failures = 0

    def start_soon(self, function, *arguments):
        """Start a task that logs its fault instead of ending the node."""
        self._group.start_soon(self._contain, function, arguments)

    def keep_running(self, function, *arguments):
        """Start a loop that is begun again after a fault."""
        self._group.start_soon(self._repeat, function, arguments)

    async def start(self, function, *arguments):
        """Start a task the node cannot do without, and wait until it is ready."""
        return await self._group.start(function, *arguments)

    async def _repeat(self, function, arguments):
        while True:
            await self._contain(function, arguments)
            await anyio.sleep(RESTART_SECONDS)

    async def _contain(self, function, arguments):
        try:
            await function(*arguments)
        except Exception as error:
            self.failures += 1
            name = getattr(function, "__qualname__", repr(function))
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
