"""What is known of each program: service attained, where it ran, and its pauses."""

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from passlane.identifiers import EngineId, ProgramId, TenantId


@dataclass(slots=True)
class ProgramProgress:
    """What a program has had so far.

    Attributes
    ----------
    attained_tokens
        Prompt tokens computed (not those found in a cache) and tokens generated.
    prefix_tokens
        Length of its history after the last call, in tokens.
    last_engine
        Where its last call ran.
    paused_at, expected_s
        Set while the program waits for a tool, with the usual length of the pause.
    open_for
        Tenant of a program under way: from its first start until it ends or its cache
        is released.
    """

    attained_tokens: int = 0
    prefix_tokens: int = 0
    last_engine: EngineId | None = None
    paused_at: float | None = None
    expected_s: float = 0.0
    active_calls: int = 0
    open_for: TenantId | None = None


class AttainedService:
    """Progress of the programs at this node; forgets the longest idle above a limit."""

    def __init__(self, max_programs: int) -> None:
        self._max_programs = max_programs
        self._programs: OrderedDict[ProgramId, ProgramProgress] = OrderedDict()
        self._open_of: Counter[TenantId] = Counter()

    def __len__(self) -> int:
        """Return how many programs are remembered."""
        return len(self._programs)

    @property
    def open_by_tenant(self) -> Mapping[TenantId, int]:
        """How many programs of each tenant are under way; none for those left out."""
        return self._open_of

    def open(self, progress: ProgramProgress, tenant_id: TenantId) -> None:
        """Note that a program is under way."""
        if progress.open_for is None:
            progress.open_for = tenant_id
            self._open_of[tenant_id] += 1

    def close(self, program_id: ProgramId) -> None:
        """Note that a program is not under way any more, whether it comes back or not."""
        progress = self._programs.get(program_id)
        if progress is not None:
            self._close(progress)

    def _close(self, progress: ProgramProgress) -> None:
        tenant_id = progress.open_for
        if tenant_id is None:
            return
        progress.open_for = None
        self._open_of[tenant_id] -= 1
        if self._open_of[tenant_id] == 0:
            del self._open_of[tenant_id]

    def of(self, program_id: ProgramId) -> ProgramProgress:
        """Return the progress of a program, making a new one if there is none."""
        progress = self._programs.get(program_id)
        if progress is None:
            progress = ProgramProgress()
            self._programs[program_id] = progress
            self._forget_oldest()
        else:
            self._programs.move_to_end(program_id)
        return progress

    def get(self, program_id: ProgramId) -> ProgramProgress | None:
        """Return the progress of a program, or ``None`` if it is not known."""
        return self._programs.get(program_id)

    def forget(self, program_id: ProgramId) -> None:
        """Forget a program that has ended."""
        progress = self._programs.pop(program_id, None)
        if progress is not None:
            self._close(progress)

    def _forget_oldest(self) -> None:
        while len(self._programs) > self._max_programs:
            _, progress = self._programs.popitem(last=False)
            self._close(progress)
