"""Worker tasks that serve the requests of a connection.

Idle tasks are reused, because waking a task is cheaper than starting one.
"""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

MAX_IDLE_WORKERS = 2
"""Maximum idle tasks of one connection; further tasks end after their request."""

Job = TypeVar("Job")


class _IdleWorker(Generic[Job]):
    """A task that waits for its next job."""

    def __init__(self) -> None:
        self.woken = anyio.Event()
        self.job: Job | None = None


class RequestWorkers(Generic[Job]):
    """Serves each job at once, in an idle task or a new one.

    Parameters
    ----------
    tasks
        Task group that runs the workers; cancelling it ends them.
    serve
        Serves one job; must not raise errors except cancellation.
    """

    def __init__(self, tasks: TaskGroup, serve: Callable[[Job], Awaitable[None]]) -> None:
        self._tasks = tasks
        self._serve = serve
        self._idle: list[_IdleWorker[Job]] = []

    def submit(self, job: Job) -> None:
        """Serve a job in an idle or new task."""
        if not self._idle:
            self._tasks.start_soon(self._work, job)
            return
        worker = self._idle.pop()
        worker.job = job
        worker.woken.set()

    async def _work(self, job: Job) -> None:
        """Serve a job and further ones, until the maximum number of tasks is idle."""
        next_job: Job | None = job
        while next_job is not None:
            await self._serve(next_job)
            next_job = await self._next_job()

    async def _next_job(self) -> Job | None:
        if len(self._idle) >= MAX_IDLE_WORKERS:
            return None
        worker: _IdleWorker[Job] = _IdleWorker()
        self._idle.append(worker)
        await worker.woken.wait()
        return worker.job
