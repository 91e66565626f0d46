"""Kinds of soaks by name: how many processes, which faults, how close to one another.

``docs/operations/soak.md`` says what each is for. The draws of a seed depend on the profile, so a
profile that has shown a fault keeps its kinds and figures.
"""

from collections.abc import Mapping

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.fleet import FleetRole
from passlane.soak.faults import FaultKind

SMALL_FLEET = {FleetRole.CONTROL: 3, FleetRole.STORE: 3, FleetRole.NODE: 3}
LARGE_FLEET = {FleetRole.CONTROL: 3, FleetRole.STORE: 5, FleetRole.NODE: 40}
"""48 processes of some 45 MB, which all start at the same moment."""
FIRST_KINDS = (
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.RESTART,
    FaultKind.KILL_ROLE,
    FaultKind.BREAK_ANSWERS,
    FaultKind.RESET,
    FaultKind.DELAY,
    FaultKind.SILENT,
    FaultKind.NOT_READING,
)
LATER_KINDS = (FaultKind.ENDLESS, FaultKind.CLIENTS)
KINDS_WITH_ENDS = tuple(kind for kind in FaultKind if kind not in LATER_KINDS)
KINDS_WITH_VERSIONS = tuple(
    kind for kind in KINDS_WITH_ENDS if kind is not FaultKind.WITHOUT_LENGTH
)


class SoakProfile(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of soak.

    Attributes
    ----------
    processes
        How many of each role.
    fault_kinds
        Faults that may be drawn.
    shortest_gap_s, longest_gap_s
        Bounds of the time between the beginnings of two faults.
    overlaps
        Whether processes of one role may be disturbed at the same time.
    keeps_connections
        Whether callers use open connections until the process is gone; else each request has a
        new connection to a node that is ready.
    has_versions
        Whether engines of two software versions serve, and callers take up resumable streams.
    has_harmful
        Whether back ends end under some requests, which their callers send again and again.
    has_unseen_ends
        Whether these back ends also end later, in silence, or after an answer.
    has_kept_turns
        Whether conversations pause and hold large turns while the leading store is restarted in
        series.
    watches_memory
        Whether the memory of all processes is judged.
    """

    name: str
    processes: Mapping[FleetRole, int]
    fault_kinds: tuple[FaultKind, ...] = FIRST_KINDS
    shortest_gap_s: float = 0.6
    longest_gap_s: float = 2.0
    overlaps: bool = False
    keeps_connections: bool = False
    has_versions: bool = False
    has_harmful: bool = False
    has_unseen_ends: bool = False
    has_kept_turns: bool = False
    watches_memory: bool = False


USUAL = SoakProfile(name="usual", processes=SMALL_FLEET)
OVERLAPPING = SoakProfile(
    name="overlapping",
    processes=SMALL_FLEET,
    fault_kinds=tuple(kind for kind in KINDS_WITH_VERSIONS if kind is not FaultKind.RELEASE),
    shortest_gap_s=0.2,
    longest_gap_s=1.0,
    overlaps=True,
    keeps_connections=True,
)
LARGE = msgspec.structs.replace(OVERLAPPING, name="large", processes=LARGE_FLEET)
VERSIONS = msgspec.structs.replace(
    OVERLAPPING, name="versions", fault_kinds=KINDS_WITH_VERSIONS, has_versions=True
)
ENDS = msgspec.structs.replace(VERSIONS, name="ends", fault_kinds=KINDS_WITH_ENDS)
HARMFUL = msgspec.structs.replace(OVERLAPPING, name="harmful", has_harmful=True)
UNSEEN = msgspec.structs.replace(
    HARMFUL,
    name="unseen",
    fault_kinds=(*HARMFUL.fault_kinds, FaultKind.ENDLESS),
    has_unseen_ends=True,
)
HARMFUL_LARGE = msgspec.structs.replace(HARMFUL, name="harmful-large", processes=LARGE_FLEET)
KEPT = msgspec.structs.replace(
    OVERLAPPING,
    name="kept",
    fault_kinds=(FaultKind.PAUSE, FaultKind.KILL, FaultKind.KILL_ROLE, FaultKind.BREAK_ANSWERS),
    shortest_gap_s=2.0,
    longest_gap_s=6.0,
    has_kept_turns=True,
)
CLIENTS = msgspec.structs.replace(
    OVERLAPPING,
    name="clients",
    fault_kinds=(FaultKind.PAUSE, FaultKind.KILL, FaultKind.RESTART, FaultKind.CLIENTS),
    shortest_gap_s=0.5,
    longest_gap_s=2.0,
    watches_memory=True,
)
PROFILES = {
    profile.name: profile
    for profile in (
        USUAL,
        OVERLAPPING,
        LARGE,
        VERSIONS,
        ENDS,
        HARMFUL,
        UNSEEN,
        HARMFUL_LARGE,
        KEPT,
        CLIENTS,
    )
}


def profile_named(name: str) -> SoakProfile:
    """Return a profile; raise ``BAD_REQUEST`` if there is none of that name."""
    profile = PROFILES.get(name)
    if profile is None:
        known = ", ".join(PROFILES)
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"--profile is one of {known}")
    return profile
