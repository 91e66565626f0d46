"""Callers' requests: attempts with ids of their own, and when another one may follow."""

import random

import anyio
import msgspec

from passlane.platform import names
from passlane.runtime.interfaces import HttpRequest
from passlane.soak.client import Answer, SoakClient
from passlane.soak.configuration import HOST, KEYS
from passlane.soak.ledger import OK, PROMISES_OF_NOT_RUN, Attempt, Ledger
from passlane.soak.machines import CALLERS_PORT, Machine
from passlane.soak.tallies import Tallies
from passlane.soak.watch import Watch

DEADLINE_MS = 4000
PATIENCE_S = 5.0
"""A caller gives up a little after the deadline that it has told."""
MOST_TRIES = 5
"""Attempts of one call, unless it tells otherwise."""
FINAL_STATUSES = frozenset({400, 401, 402, 404, 413})
LONGEST_RETURN_S = 1.0
"""The time to come back is heeded up to here."""
SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.4
"""Bounds of the pause after a failure that tells no time to come back."""


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller wants done, by one attempt or several.

    Attributes
    ----------
    name
        Beginning of the ids of its attempts.
    most_tries
        Attempts at most.
    most_runs
        How often one attempt may run.
    is_once
        Whether it must not be sent again unless it certainly did not run.
    events
        Events of the answer; 0 for a plain body.
    """

    name: str
    route: str
    tenant: str
    headers: dict[str, str]
    body: bytes
    expected_body: bytes
    has_kept_history: bool = False
    most_tries: int = MOST_TRIES
    most_runs: int = 1
    is_once: bool = False
    events: int = 0


class CallResult(msgspec.Struct, frozen=True):
    """How a call ended: the id of its last attempt, and the answer if there was one."""

    request_id: str
    answer: Answer | None

    @property
    def is_success(self) -> bool:
        """Whether the whole answer came."""
        return self.answer is not None and self.answer.status == OK and self.answer.is_whole

    @property
    def status(self) -> int | None:
        """Status of the answer."""
        return self.answer.status if self.answer is not None else None


class Callers:
    """Sends calls to nodes and tells the ledger what came back."""

    def __init__(
        self,
        ledger: Ledger,
        client: SoakClient,
        watch: Watch,
        tallies: Tallies,
        seed: int,
        *,
        keeps_connections: bool = False,
    ) -> None:
        self._keeps_connections = keeps_connections
        self._ledger = ledger
        self._client = client
        self._watch = watch
        self._tallies = tallies
        self._random = random.Random(f"{seed} callers")

    async def make(self, call: Call) -> CallResult:
        """Send attempts until one ends the call."""
        result = CallResult(call.name, None)
        for number in range(call.most_tries):
            request_id = f"{call.name}.{number}"
            result = CallResult(request_id, await self._send(call, request_id))
            is_refused = result.status in PROMISES_OF_NOT_RUN
            if result.is_success or result.status in FINAL_STATUSES:
                break
            if call.is_once and not is_refused:
                break
            await anyio.sleep(self.pause_s(result.answer if is_refused else None))
        return result

    async def _send(self, call: Call, request_id: str) -> Answer | None:
        answer = await self.exchange(call, request_id)
        if answer is not None:
            self._ledger.note_answer(
                request_id,
                answer.status,
                answer.headers.get(names.SIGNATURE, ""),
                answer.body,
                is_whole=answer.is_whole,
                now=anyio.current_time(),
            )
        return answer

    async def exchange(self, call: Call, request_id: str) -> Answer | None:
        """Send one attempt and return what came of it, unjudged."""
        now = anyio.current_time()
        self._ledger.note_sent(_attempt(call, request_id, now))
        node = self._random.choice(self._nodes())
        headers = call.headers | {
            names.ATTEMPT_ID: request_id,
            names.DEADLINE_MS: str(DEADLINE_MS),
            names.API_KEY: KEYS[call.tenant],
        }
        request = HttpRequest(
            "POST",
            node.address(CALLERS_PORT),
            f"/{call.route}/x",
            headers,
            call.body,
            fresh_connection=not self._keeps_connections,
            host=HOST,
        )
        answer = await self._client.fetch(request, PATIENCE_S)
        self._tallies.note_answer(call.route, answer)
        return answer

    def _nodes(self) -> list[Machine]:
        """Return the nodes that a request may go to: ready ones, and those with a connection."""
        ready = self._watch.nodes_for_callers()
        if not self._keeps_connections:
            return ready
        others = (node for node in self._watch.nodes if node not in ready)
        return ready + [n for n in others if self._client.keeps_connection(n.address(CALLERS_PORT))]

    def pause_s(self, refusal: Answer | None) -> float:
        """Return the pause before the next attempt: what a refusal tells, else a random one."""
        told = refusal.headers.get("retry-after") if refusal is not None else None
        if told is not None:
            return min(float(told), LONGEST_RETURN_S)
        return self._random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)


def _attempt(call: Call, request_id: str, now: float) -> Attempt:
    return Attempt(
        request_id=request_id,
        operation=call.name,
        sent_at=now,
        most_runs=call.most_runs,
        is_once=call.is_once,
        body=call.expected_body,
        events=call.events,
        has_kept_history=call.has_kept_history,
    )
