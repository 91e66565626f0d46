"""The applications' HTTP protocol over an application model, as an ASGI application."""

import anyio
import msgspec

from passlane.emulator.application_model import (
    ApplicationAnswer,
    ApplicationModel,
    Behaviour,
    Handling,
)
from passlane.emulator.asgi import (
    STATUS_OK,
    Exchange,
    Route,
    build_application,
)
from passlane.messages.backends import ToolRequest
from passlane.runtime.interfaces import AsgiApplication


class ForcedBehaviour(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/test/behaviour``: what the next request for ``tool`` meets.

    With ``program_id`` only a request of that program meets it.
    """

    tool: str
    behaviour: Behaviour
    program_id: str | None = None


def build_tool_application(
    model: ApplicationModel, one_way_delay_s: float = 0.0
) -> AsgiApplication:
    """Return the ASGI application that serves an emulated application.

    Parameters
    ----------
    model
        The tools, their faults and the ledger.
    one_way_delay_s
        Added to requests and to answers, as if the application stood this far away.
    """
    handlers = _ApplicationHandlers(model, one_way_delay_s)
    return build_application(
        (
            Route("POST", "/v1/tools/{tool}", handlers.tool),
            Route("GET", "/v1/operations/{id}", handlers.status),
            Route("GET", "/v1/ledger", handlers.ledger),
            Route("POST", "/v1/test/behaviour", handlers.force),
        )
    )


class _ApplicationHandlers:
    """One method for each path of the applications' protocol."""

    def __init__(self, model: ApplicationModel, one_way_delay_s: float) -> None:
        self._model = model
        self._delay_s = one_way_delay_s

    async def tool(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/tools/{tool}``."""
        request = msgspec.json.decode(exchange.request.body, type=ToolRequest)
        await anyio.sleep(self._delay_s)
        planned = self._model.receive(exchange.parameters["tool"], request, anyio.current_time())
        if isinstance(planned, ApplicationAnswer):
            await self._answer(exchange, planned)
            return
        # An operation under way goes on when its caller leaves, as in a real application.
        with anyio.CancelScope(shield=True):
            await self._run(planned)
        await self._answer_at_its_time(exchange, planned)

    async def status(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/operations/{id}``."""
        await anyio.sleep(self._delay_s)
        reply = self._model.status(exchange.parameters["id"])
        await self._answer(exchange, ApplicationAnswer(STATUS_OK, reply))

    async def ledger(self, exchange: Exchange) -> None:
        """Serve ``GET /v1/ledger``: a line for each time an operation ran."""
        await exchange.answer(STATUS_OK, self._model.ledger())

    async def force(self, exchange: Exchange) -> None:
        """Serve ``POST /v1/test/behaviour``, for tests only: disturb the next request."""
        forced = msgspec.json.decode(exchange.request.body, type=ForcedBehaviour)
        self._model.force(forced.behaviour, forced.tool, forced.program_id)
        await exchange.answer(STATUS_OK, forced)

    async def _run(self, planned: Handling) -> None:
        """Run the operation at its time, if it runs at all."""
        if planned.runs_at is not None:
            await anyio.sleep_until(planned.runs_at)
            self._model.run(planned)

    async def _answer_at_its_time(self, exchange: Exchange, planned: Handling) -> None:
        """Answer at the planned time, or keep the caller waiting until it leaves."""
        if planned.answers_at is None:
            await exchange.wait_for_disconnect()
            return
        await anyio.sleep_until(planned.answers_at)
        await self._answer(exchange, self._model.answer(planned))

    async def _answer(self, exchange: Exchange, answer: ApplicationAnswer) -> None:
        """Send an answer the way it was planned."""
        await anyio.sleep(self._delay_s)
        if answer.breaks_off:
            await exchange.break_off()
            return
        if answer.copies == 1:
            await exchange.answer(answer.status, answer.reply)
            return
        body = msgspec.json.encode(answer.reply) + b"\n"
        await exchange.start_json()
        await exchange.send_part(body)
        await exchange.send_part(body, last=True)
