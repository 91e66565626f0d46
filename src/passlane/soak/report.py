"""What a soak tells at its end."""

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Attributes
    ----------
    check
        Name of the check; see ``docs/operations/soak.md``.
    request_id
        Id of the request by which it showed, or what else it concerns.
    at_s
        Seconds since the soak began.
    """

    check: str
    request_id: str
    detail: str
    at_s: float


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load, faults, checks and findings of one soak.

    Attributes
    ----------
    programs
        How many programs ended how, by their kind.
    answers
        How many attempts got which answer (a status, ``broken_off`` or ``none``), by route.
    faults
        How many faults there were of each kind and role.
    checks
        How often each check was made.
    findings
        The first ones, as many as are kept.
    finding_count
        All of them.
    was_interrupted
        Whether a signal ended it early.
    """

    seed: int
    load_s: float
    programs: dict[str, dict[str, int]]
    answers: dict[str, dict[str, int]]
    faults: dict[str, int]
    checks: dict[str, int]
    findings: tuple[Finding, ...]
    finding_count: int
    was_interrupted: bool = False

    @property
    def has_passed(self) -> bool:
        """Whether the soak ran to its end without a finding."""
        return self.finding_count == 0 and not self.was_interrupted
