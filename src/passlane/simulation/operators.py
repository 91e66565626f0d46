"""Simulated operators: they submit, change and read documents through the daemons' HTTP."""

import itertools
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from passlane.simulation.fleet_plan import OPERATOR_HOST, OPERATOR_TOKEN
from passlane.simulation.http_calls import HttpAnswer, fetch
from passlane.simulation.observer import SeenChange, SeenDocument
from passlane.simulation.simulated_clients import SimulatedClients

REQUEST_TIMEOUT_S = 12.0
CHANGE_PATIENCE_S = 60.0
"""A change is repeated for so long, and has as long again to come into force."""
PAUSE_S = 0.3
WATCH_INTERVAL_S = 2.0
CHANGED_STATUSES = frozenset({200, 201})
CONFLICT_STATUSES = frozenset({409, 412})
ANSWERED_BELOW = 500


@dataclass(frozen=True)
class _SubmittedChange:
    """How a change was answered; ``status`` is ``None`` when it was not."""

    status: int | None = None
    version: int | None = None
    revision: int | None = None


def _read_change(answer: HttpAnswer) -> _SubmittedChange:
    if answer.status not in CHANGED_STATUSES:
        return _SubmittedChange(answer.status)
    view = msgspec.json.decode(answer.body)
    return _SubmittedChange(answer.status, view["version"], view["revision"])


def _conditions(key: str, expected_version: int) -> dict[str, str]:
    """Return the headers that make a change repeatable and bind it to a version."""
    if expected_version:
        return {"idempotency-key": key, "if-match": f'"{expected_version}"'}
    return {"idempotency-key": key, "if-none-match": "*"}


class SimulatedOperators(SimulatedClients):
    """Sends requests of operators and notes every answer."""

    host = OPERATOR_HOST

    async def request(
        self,
        process: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: Any = None,
    ) -> HttpAnswer:
        """Send one request to one process."""
        return await fetch(
            self._client,
            self._plan.operators_address(process),
            method,
            path,
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})},
            body=b"" if body is None else msgspec.json.encode(body),
            timeout_s=REQUEST_TIMEOUT_S,
        )

    async def change(
        self,
        kind: str,
        name: str,
        body: Any,
        expected_version: int,
        key: str,
        *,
        wait: bool = True,
    ) -> SeenChange:
        """Submit a change and repeat it with the same key until it is answered.

        With ``wait`` it also waits until the change is in force everywhere. A change that is
        neither made nor in conflict with another counts as a failure of the run.
        """
        path = f"/v1/documents/{kind}/{name}"
        result = await self._submit(path, _conditions(key, expected_version), body)
        answered_at = anyio.current_time() if result.status is not None else None
        self._event_log.record(
            "operator", f"{path} {key}: {result.status} version {result.version}"
        )
        if result.status not in CHANGED_STATUSES | CONFLICT_STATUSES:
            self._seen.failures.append(f"operators: {path} {key} was answered with {result.status}")
        accepted_at = None
        if result.revision is not None and wait:
            accepted_at = await self.wait_in_force(result.revision)
            if accepted_at is None:
                self._seen.failures.append(f"operators: {path} {key} did not come into force")
        change = SeenChange(
            name=f"{kind}/{name}",
            expected_version=expected_version,
            version=result.version,
            revision=result.revision,
            key=key,
            answered_at=answered_at,
            status=200 if result.status in CHANGED_STATUSES else result.status,
            accepted_at=accepted_at,
        )
        self._seen.changes.append(change)
        return change

    async def _submit(self, path: str, headers: dict[str, str], body: Any) -> _SubmittedChange:
        """Send a change to one process after another until one of them answers it."""
        with anyio.move_on_after(CHANGE_PATIENCE_S):
            while True:
                process = self._random.choice(self._plan.store_names())
                answer = await self.request(process, "PUT", path, headers, body)
                if answer.is_whole and (answer.status or ANSWERED_BELOW) < ANSWERED_BELOW:
                    return _read_change(answer)
                await anyio.sleep(PAUSE_S)
        return _SubmittedChange()

    async def wait_in_force(self, revision: int) -> float | None:
        """Wait until a revision is accepted and in force; return when that was said."""
        with anyio.move_on_after(CHANGE_PATIENCE_S):
            while True:
                process = self._random.choice(self._plan.store_names())
                answer = await self.request(process, "GET", f"/v1/progress/{revision}")
                if answer.is_whole and answer.status == 200:
                    progress = msgspec.json.decode(answer.body)
                    if progress.get("in_force_everywhere"):
                        self._event_log.record("operator", f"revision {revision} is in force")
                        return anyio.current_time()
                await anyio.sleep(PAUSE_S)
        return None

    async def watch_documents(self) -> None:
        """Read all documents from one process after the other, until cancelled."""
        for process in itertools.cycle(self._plan.store_names() + self._plan.node_names()):
            await anyio.sleep(WATCH_INTERVAL_S / 4)
            await self.read_documents(process)

    async def read_documents(self, process: str) -> None:
        """Note the versions that one process gives."""
        with anyio.move_on_after(WATCH_INTERVAL_S):
            answer = await self.request(process, "GET", "/v1/documents")
            if not answer.is_whole or answer.status != 200:
                return
            now = anyio.current_time()
            for view in msgspec.json.decode(answer.body)["documents"]:
                self._seen.documents.append(
                    SeenDocument(
                        time=now,
                        process=process,
                        name=f"{view['kind']}/{view['name']}",
                        version=view["version"],
                        is_accepted=view["is_accepted"],
                    )
                )
