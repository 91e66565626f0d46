"""Periodic tasks of a node.

Ends programs that are past their deadline, drops idle programs from memory, and reports
failures of policies.
"""

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.node.node_core import NodeCore
from passlane.node.program_host import ProgramHost
from passlane.observability.logging import get_logger

INTERVAL_S = 1.0
"""Seconds between two rounds; an overdue program is detected within this time."""

_log = get_logger(__name__)


class Housekeeping:
    """Runs the periodic tasks over the programs in memory and the active policies."""

    def __init__(self, core: NodeCore) -> None:
        self._core = core

    async def run(self) -> None:
        """Run the tasks every ``INTERVAL_S`` until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            now = anyio.current_time()
            self._core.directory.drop_idle(now)
            self._core.leader.drop_confirmed_successors()
            self._report_policy_problems()
            self._end_overdue_programs(now)

    def _report_policy_problems(self) -> None:
        for report in self._core.services.policies.collect_problems():
            self._core.services.reports.publish_policy_failure(report)
            _log.warning(
                "policy_failed", policy=report.policy, error=report.message, times=report.times
            )

    def _end_overdue_programs(self, now: float) -> None:
        for host in self._core.directory.hosts:
            program = host.program
            if program.deadline is None or program.deadline > now or program.is_ended:
                continue
            program.deadline = None
            self._core.services.tasks.start_soon(self._end_overdue, host)

    async def _end_overdue(self, host: ProgramHost) -> None:
        message = "the program's deadline has passed"
        try:
            await self._core.leader.end_host(host, ErrorCode.LIMIT_EXCEEDED, message)
        except PasslaneError as error:
            _log.warning("overdue_program_not_ended", code=error.code.value)
            host.program.deadline = anyio.current_time() + INTERVAL_S
