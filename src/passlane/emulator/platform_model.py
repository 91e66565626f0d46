"""A model of the platform's list of machines, which lags behind what happens."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from passlane.messages.backends import PlatformList, PlatformMachine

LIVE = "live"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class _Version:
    """The list as it became at a time."""

    time: float
    machines: dict[str, PlatformMachine]


class PlatformModel:
    """Keeps the true list and shows it as it was a while ago.

    Parameters
    ----------
    machines
        Names of the machines that are live at the start.
    lag_s
        Age of what readers see, in seconds.
    now
        Time of the start.
    """

    def __init__(self, machines: Sequence[str], lag_s: float, now: float) -> None:
        self._lag_s = lag_s
        first = {name: PlatformMachine(name=name, state=LIVE) for name in machines}
        self._versions: deque[_Version] = deque([_Version(now, first)])

    def mark_leaving(self, name: str, leaves_in_s: float, now: float) -> None:
        """Announce that a machine leaves; a machine that is not listed is added."""
        leaving = PlatformMachine(name=name, state=LEAVING, leaves_in_s=leaves_in_s)
        self._change({**self._versions[-1].machines, name: leaving}, now)

    def mark_live(self, name: str, now: float) -> None:
        """List a machine as live."""
        live = PlatformMachine(name=name, state=LIVE)
        self._change({**self._versions[-1].machines, name: live}, now)

    def remove(self, name: str, now: float) -> None:
        """Take a machine off the list."""
        machines = dict(self._versions[-1].machines)
        machines.pop(name, None)
        self._change(machines, now)

    def read(self, now: float) -> PlatformList:
        """Return the list as it was a while ago."""
        while len(self._versions) > 1 and self._versions[1].time <= now - self._lag_s:
            self._versions.popleft()
        version = self._versions[0]
        return PlatformList(
            machines=tuple(
                self._aged(machine, now - version.time) for machine in version.machines.values()
            ),
            age_s=self._lag_s,
        )

    def _change(self, machines: dict[str, PlatformMachine], now: float) -> None:
        """Make ``machines`` the true list from ``now`` on."""
        self._versions.append(_Version(now, machines))

    @staticmethod
    def _aged(machine: PlatformMachine, age_s: float) -> PlatformMachine:
        """Return a line with the time left counted from the reading."""
        if machine.leaves_in_s is None:
            return machine
        return PlatformMachine(
            name=machine.name,
            state=machine.state,
            leaves_in_s=max(0.0, machine.leaves_in_s - age_s),
        )
