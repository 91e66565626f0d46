"""Operators' route that explains where and when a program's last model call ran."""

from collections.abc import Mapping

from passlane.api.asgi import Request, Response, json_response
from passlane.api.document_routes import OK, Handler
from passlane.api.groups import GroupExecutor
from passlane.api.routing import PathRouter
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ProgramId
from passlane.messages.common import Address
from passlane.messages.node import ExplainProgram, ProgramExplanation
from passlane.messages.store import Assignments, ReadAssignments
from passlane.programs.partitions import partition_of
from passlane.transport.interfaces import Caller

TIMEOUT_S = 3.0


class ExplanationRoutes:
    """Forwards the query to the node that leads the program, which has the explanation.

    Parameters
    ----------
    store
        Client of the region's store group, which has the partition table.
    caller
        Sends the query to the leader.
    """

    def __init__(self, store: GroupExecutor, caller: Caller) -> None:
        self._store = store
        self._caller = caller

    def add_to(self, router: PathRouter[Handler]) -> None:
        """Register the route."""
        router.add("GET", "/v1/programs/{id}/explanation", self.explain)

    async def explain(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the leader's explanation."""
        query = ExplainProgram(ProgramId(parameters["id"]))
        leader = await self._leader_of(query.program_id)
        explanation = await self._caller.call(
            leader, query, ProgramExplanation, timeout_s=TIMEOUT_S
        )
        return json_response(OK, explanation)

    async def _leader_of(self, program_id: ProgramId) -> Address:
        reply = await self._store.execute(ReadAssignments(), Assignments, timeout_s=TIMEOUT_S)
        partition = partition_of(program_id, len(reply.assignments) or 1)
        for assignment in reply.assignments:
            if assignment.partition == partition:
                address: Address = assignment.address
                return address
        raise PasslaneError(
            ErrorCode.UNAVAILABLE, "the program has no leader now", retry_after_s=TIMEOUT_S
        )
