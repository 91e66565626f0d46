"""Defects towards back ends and in stopping."""

from typing import Any

import anyio
import anyio.lowlevel

from passlane.backends.engine_client import EngineClient
from passlane.daemon.passlaned.daemon import Daemon
from passlane.identifiers import EngineId
from passlane.messages.backends import EngineChunk
from passlane.node import service
from passlane.node.model_attempt import ModelAttempt
from passlane.runtime.interfaces import HttpResponse
from passlane.simulation.defects.base import Defect, replacing
from passlane.simulation.replacement import Replacement

TOKEN_FIELD = b'"text":'


def _avoid_no_engine(*_arguments: object) -> frozenset[EngineId]:
    return frozenset()


async def _read_to_any_end(
    client: EngineClient, response: HttpResponse, reader: Any, scope: anyio.CancelScope
) -> None:
    """Read a stream and take its end for that of the answer."""
    position = 0
    async for data in response.chunks():
        position += data.count(TOKEN_FIELD)
        reader.feed(data)
    if reader.final is None:
        reader.final = EngineChunk(
            reader._attempt_id, position, finish_reason="stop", generated_tokens=position
        )


async def _never_ended(_attempt: ModelAttempt) -> bool:
    """Take every engine that breaks an attempt off for one that lives."""
    await anyio.lowlevel.checkpoint()
    return False


async def _stop_at_once(daemon: Daemon) -> None:
    """Stop without letting anything finish."""
    daemon._scope.cancel()
    await anyio.lowlevel.checkpoint()


BACK_END_DEFECTS = (
    Defect(
        "leaving-ignored",
        "leaving",
        "engine-leaving",
        0,
        "engines that are leaving or drained get new work",
        replacing(Replacement(service, "engines_to_avoid", _avoid_no_engine)),
    ),
    Defect(
        "stream-end-taken-for-answer",
        "answers",
        "engine-streams-without-length",
        0,
        "a stream that ends is taken for a whole answer",
        replacing(Replacement(EngineClient, "_read_stream", _read_to_any_end)),
    ),
    Defect(
        "ended-engines-not-counted",
        "ended-engines",
        "engine-ends-under-calls",
        0,
        "an engine that ends under a call is taken for one that lives",
        replacing(Replacement(ModelAttempt, "_has_engine_ended", _never_ended)),
    ),
    Defect(
        "stop-without-drain",
        "planned-stop",
        "rolling-restart",
        0,
        "a node that is stopped ends at once",
        replacing(Replacement(Daemon, "drain_and_stop", _stop_at_once)),
    ),
)
"""Defects towards engines and applications, and in planned stops."""
