"""Services shared by the calls of a node: store, dispatchers, back ends, configuration."""

from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from passlane.configuration.view import ConfigurationView
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import EngineId
from passlane.messages.common import NotLeaderError
from passlane.messages.store import EngineHold, RecordHold
from passlane.node.call_reports import CallReports
from passlane.node.engine_registry import EngineRegistry
from passlane.node.leadership import Leadership
from passlane.node.led_program import LedProgram
from passlane.node.model_dispatcher import ModelDispatcher
from passlane.node.program_store import ProgramStore
from passlane.node.tool_dispatcher import ToolDispatcher
from passlane.policy.active_policies import ActivePolicies
from passlane.runtime.interfaces import HttpClient

HOLD_TIMEOUT_S = 5.0
"""Timeout for recording a hold, after which the attempt fails."""

LEADERSHIP_CODES = frozenset(
    {
        ErrorCode.NOT_LEADER,
        ErrorCode.STALE_EPOCH,
        ErrorCode.LEASE_LOST,
        ErrorCode.STALE_FENCING_TOKEN,
    }
)
"""Codes which mean that another node leads the program now."""


@dataclass(frozen=True)
class CallServices:
    """Services shared by all calls of a node."""

    store: ProgramStore
    models: ModelDispatcher
    tools: ToolDispatcher
    engines: EngineRegistry
    http: HttpClient
    leadership: Leadership
    configuration: Callable[[], ConfigurationView]
    tasks: TaskGroup
    reports: CallReports
    policies: ActivePolicies

    def leads(self, program: LedProgram) -> bool:
        """Return whether this node still leads the program in the epoch it was loaded in."""
        return self.leadership.epoch_of(program.partition) == program.epoch

    async def record_hold(self, program: LedProgram, engine_id: EngineId) -> None:
        """Record in the store that an engine may hold memory for a program.

        This happens before the program's call is sent to the engine.

        Raises
        ------
        PasslaneError
            With the verdict ``NOT_RUN``: nothing was sent, whether or not the hold was recorded.
        """
        incarnation = self.engines.incarnation_of(engine_id)
        if program.holds.get(engine_id, -1) >= incarnation:
            return
        hold = EngineHold(engine_id=engine_id, incarnation=incarnation)
        command = RecordHold(
            program_id=program.program_id,
            partition=program.partition,
            epoch=program.epoch,
            hold=hold,
        )
        try:
            await self.store.record_hold(command, HOLD_TIMEOUT_S)
        except PasslaneError as error:
            raise PasslaneError(
                error.code, error.message, verdict=Verdict.NOT_RUN, retry_after_s=1.0
            ) from error
        program.add_hold(hold)

    def not_leader_error(
        self, program: LedProgram, verdict: Verdict = Verdict.NOT_RUN
    ) -> NotLeaderError:
        """Return the error that redirects a caller to the program's leader.

        Parameters
        ----------
        verdict
            Whether this node may have run the caller's call.
        """
        leader = self.leadership.leader_of(program.partition)
        return NotLeaderError("another node leads the program", leader, verdict=verdict)
