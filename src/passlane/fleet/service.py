"""The fleet service on one replica of the control group.

For: a control replica runs it on top of its replicated group. It answers heartbeats, reports of
backends and operators' requests, and runs the leader's periodic tasks.
Owns: the services for these requests and their shared ``LeaderState``.
Relies on: the replicated group, its state machine, the router of this process, and a caller
that reaches the store group.
"""

from passlane.fleet.configuration_service import ConfigurationService
from passlane.fleet.heartbeat_service import HeartbeatService
from passlane.fleet.leader_state import LeaderState
from passlane.fleet.leader_tasks import LeaderTasks
from passlane.fleet.state.machine import FleetStateMachine
from passlane.fleet.store_retirements import StoreRetirements
from passlane.messages.fleet import Announce, ReadRetirement, RetireStore
from passlane.messages.listing import ReportBackends
from passlane.messages.routes import ReadConfiguration, ReplaceConfiguration
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Caller, Router


class FleetService:
    """Creates the services of a control replica and registers their request handlers.

    Only the leader answers; other replicas raise ``NotLeaderError`` with the known leader.

    Parameters
    ----------
    caller
        Reaches the store group to remove retired replicas.
    store_voters
        Number of voters of the store group, which determines how many failures it tolerates.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: FleetStateMachine,
        router: Router,
        caller: Caller,
        store_voters: int,
    ) -> None:
        leader = LeaderState(group, machine)
        heartbeats = HeartbeatService(leader)
        configurations = ConfigurationService(leader)
        retirements = StoreRetirements(leader, caller, store_voters)
        self._tasks = LeaderTasks(leader, retirements, store_voters)
        router.add_unary(Announce, heartbeats.answer_heartbeat)
        router.add_unary(ReportBackends, heartbeats.receive_report)
        router.add_unary(ReplaceConfiguration, configurations.replace_configuration)
        router.add_unary(ReadConfiguration, configurations.read_configuration)
        router.add_unary(RetireStore, retirements.retire_store)
        router.add_unary(ReadRetirement, retirements.read_retirement)

    async def run(self) -> None:
        """Run the leader's periodic tasks until cancelled."""
        await self._tasks.run()
