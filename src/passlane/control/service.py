"""Serves the messages of the control group on one replica.

Only the leader handles requests; the other replicas reply with the address of the leader.
The leader also proposes the regions and the accepted revisions.
"""

from collections.abc import Callable

import anyio

from passlane.configuration.documents import DocumentKind, PolicyBody
from passlane.configuration.parsing import parse_body, parse_kind
from passlane.control.state.leader_proposals import LeaderProposals
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.control import (
    ConfigurationDelta,
    ControlRefusal,
    ControlResult,
    ControlStatus,
    Document,
    Documents,
    PendingChange,
    Progress,
    PutDocument,
    ReadControlStatus,
    ReadDocuments,
    ReadProgress,
    RegionReport,
    WithdrawChange,
)
from passlane.observability.logging import get_logger
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Router

PolicyChecker = Callable[[str, int], list[str]]
"""Checks the source of a policy within a maximum number of steps; returns the problems."""

LEADERSHIP_CHECK_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.5
MAX_LISTED_PENDING_CHANGES = 100

_result_decoder = message_decoder(ControlResult)
_log = get_logger(__name__)


def accept_any_policy(source: str, max_steps: int) -> list[str]:
    """Accept any policy; for configurations without policies."""
    return []


class ControlService:
    """Handles changes by operators and reports of regions; proposes acceptance as leader.

    Parameters
    ----------
    regions
        Regions that must have a change prepared before it is accepted.
    check_policy
        Checks the source of each new policy before the change is proposed.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: ControlStateMachine,
        router: Router,
        *,
        regions: tuple[str, ...] = (),
        check_policy: PolicyChecker = accept_any_policy,
    ) -> None:
        self._group = group
        self._machine = machine
        self._check_policy = check_policy
        self._proposals = LeaderProposals(machine, regions)
        self._proposal_due = anyio.Event()
        router.add_unary(PutDocument, self.put_document)
        router.add_unary(WithdrawChange, self.withdraw_change)
        router.add_unary(ReadDocuments, self.read_documents)
        router.add_unary(ReadProgress, self.read_progress)
        router.add_unary(ReadControlStatus, self.read_status)
        router.add_unary(RegionReport, self.receive_report)

    async def run(self) -> None:
        """Propose regions and accepted revisions while this replica leads."""
        while True:
            with anyio.move_on_after(LEADERSHIP_CHECK_INTERVAL_S):
                await self._proposal_due.wait()
            self._proposal_due = anyio.Event()
            if not self._group.is_leader:
                continue
            try:
                await self._propose_due_commands()
            except PasslaneError as error:
                # Retried in any case, because proposals are idempotent.
                _log.info("control_proposal_failed", code=error.code.value)
                await anyio.sleep(RETRY_DELAY_S)

    async def put_document(self, request: PutDocument) -> Message:
        """Validate and propose a change; return its result."""
        self._require_leadership()
        problem = self._find_problem(request)
        if problem is not None:
            return ControlRefusal(code=ErrorCode.INVALID_DOCUMENT.value, message=problem)
        return await self._propose(request)

    async def withdraw_change(self, request: WithdrawChange) -> Message:
        """Propose to withdraw a pending change; return the result."""
        self._require_leadership()
        return await self._propose(request)

    async def read_documents(self, request: ReadDocuments) -> Documents:
        """Return the newest versions of documents, including pending changes."""
        await self._read_barrier()
        ledger = self._machine.ledger
        return Documents(
            documents=tuple(ledger.newest_documents(request.kind, request.name)),
            newest_revision=ledger.held_revision,
            accepted_revision=ledger.accepted_revision,
        )

    async def read_progress(self, request: ReadProgress) -> Progress:
        """Return the rollout progress of a revision in each region."""
        await self._read_barrier()
        return self._proposals.progress(request.revision, self._group.term, anyio.current_time())

    async def read_status(self, request: ReadControlStatus) -> ControlStatus:
        """Return the status of the group and of the regions."""
        await self._read_barrier()
        ledger = self._machine.ledger
        pending = ledger.pending_changes()
        progress = self._proposals.progress(
            ledger.held_revision, self._group.term, anyio.current_time()
        )
        return ControlStatus(
            leader=self._group.leader_address,
            term=self._group.term,
            newest_revision=ledger.held_revision,
            accepted_revision=ledger.accepted_revision,
            pending_count=len(pending),
            pending=tuple(
                _pending_change(change) for change in pending[:MAX_LISTED_PENDING_CHANGES]
            ),
            regions=progress.regions,
        )

    async def receive_report(self, report: RegionReport) -> ConfigurationDelta:
        """Record a region's report and return the changes that the region lacks.

        No read barrier is needed: the reply contains only committed changes, and after a
        stale reply the region sends another report.
        """
        self._require_leadership()
        term = self._group.term
        if not self._proposals.record_report(report, term, anyio.current_time()):
            _log.warning("stale_region_report", region=report.region, term=report.term)
        if self._proposals.due_commands(term):
            self._proposal_due.set()
        return self._machine.ledger.delta_since(report.held_revision, report.held_floor)

    async def _propose_due_commands(self) -> None:
        for command in self._proposals.due_commands(self._group.term):
            await self._propose(command)
            _log.info("control_proposal_done", command=type(command).__name__)

    def _find_problem(self, request: PutDocument) -> str | None:
        if request.body is None:
            return None
        try:
            body = parse_body(parse_kind(request.kind), request.body)
        except PasslaneError as error:
            return error.message
        if request.kind != DocumentKind.POLICY or not isinstance(body, PolicyBody):
            return None
        problems = self._check_policy(body.source, body.max_steps)
        return "; ".join(problems) if problems else None

    async def _propose(self, command: Message) -> ControlResult:
        reply = await self._group.propose(encode_message(command))
        result: ControlResult = _result_decoder.decode(reply)
        return result

    async def _read_barrier(self) -> None:
        self._require_leadership()
        await self._group.read_barrier()

    def _require_leadership(self) -> None:
        if not self._group.is_leader:
            raise NotLeaderError(
                "this replica does not lead the control group", self._group.leader_address
            )


def _pending_change(change: Document) -> PendingChange:
    return PendingChange(
        kind=change.kind,
        name=change.name,
        version=change.version,
        revision=change.revision,
        is_deletion=change.body is None,
    )
