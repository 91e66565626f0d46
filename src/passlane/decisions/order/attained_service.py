"""Tracks the progress of each program at a node: attained service, last engine and pauses."""

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from passlane.identifiers import EngineId, ProgramId, TenantId


@dataclass(slots=True)
class ProgramProgress:
    """Progress of a program.

    Attributes
    ----------
    attained_tokens
        Prompt tokens computed (without cached tokens) plus tokens generated.
    prefix_tokens
        Length of its context after the last call, in tokens.
    last_engine
        Engine that ran its last call.
    paused_at, expected_s
        Start and expected duration of a pause, set while the program waits for a tool.
    active_calls
        Number of its running calls.
    open_for
        Tenant of a program under way: from its first start until it ends or its cache is
        released.
    """

    attained_tokens: int = 0
    prefix_tokens: int = 0
    last_engine: EngineId | None = None
    paused_at: float | None = None
    expected_s: float = 0.0
    active_calls: int = 0
    open_for: TenantId | None = None


class AttainedService:
    """Progress of the programs at this node.

    Parameters
    ----------
    max_programs
        Maximum number of retained programs; the least recently used is evicted.
    """

    def __init__(self, max_programs: int) -> None:
        self._max_programs = max_programs
        self._programs: OrderedDict[ProgramId, ProgramProgress] = OrderedDict()
        self._open_counts: Counter[TenantId] = Counter()

    def __len__(self) -> int:
        """Return the number of retained programs."""
        return len(self._programs)

    @property
    def open_by_tenant(self) -> Mapping[TenantId, int]:
        """Number of programs under way by tenant; tenants without any are omitted."""
        return self._open_counts

    def open(self, progress: ProgramProgress, tenant_id: TenantId) -> None:
        """Record that a program is under way."""
        if progress.open_for is None:
            progress.open_for = tenant_id
            self._open_counts[tenant_id] += 1

    def close(self, program_id: ProgramId) -> None:
        """Record that a program is no longer under way; it may be opened again later."""
        progress = self._programs.get(program_id)
        if progress is not None:
            self._close(progress)

    def _close(self, progress: ProgramProgress) -> None:
        tenant_id = progress.open_for
        if tenant_id is None:
            return
        progress.open_for = None
        self._open_counts[tenant_id] -= 1
        if self._open_counts[tenant_id] == 0:
            del self._open_counts[tenant_id]

    def of(self, program_id: ProgramId) -> ProgramProgress:
        """Return the progress of a program, creating it if necessary."""
        progress = self._programs.get(program_id)
        if progress is None:
            progress = ProgramProgress()
            self._programs[program_id] = progress
            self._evict_oldest()
        else:
            self._programs.move_to_end(program_id)
        return progress

    def get(self, program_id: ProgramId) -> ProgramProgress | None:
        """Return the progress of a program, or ``None`` if it is not tracked."""
        return self._programs.get(program_id)

    def forget(self, program_id: ProgramId) -> None:
        """Remove a program that has ended."""
        progress = self._programs.pop(program_id, None)
        if progress is not None:
            self._close(progress)

    def _evict_oldest(self) -> None:
        while len(self._programs) > self._max_programs:
            _, progress = self._programs.popitem(last=False)
            self._close(progress)
