"""Tells the control leader which back ends the platform lists.

For: one node reads the platform's list for all; the leader passes it on with views.
Owns: the list as last reported, so that an unchanged one is sent as a number only.
Relies on: ``ControlLeader`` for where to send it.
"""

from collections.abc import Callable

from passlane.errors import PasslaneError
from passlane.fleet.control_leader import ControlLeader
from passlane.messages.listing import BackendRecord, BackendsReported, ReportBackends
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller

REPORT_TIMEOUT_S = 0.5
"""Seconds for the answer to a report.

Not measured; chosen: a report that fails is made again with the next reading of the list.
"""

_log = get_logger(__name__)


class BackendsReporter:
    """Reports the list of back ends in the name of this process.

    Parameters
    ----------
    name
        Returns the name of the machine, as its heartbeats tell it.
    """

    def __init__(self, name: Callable[[], str], leader: ControlLeader, caller: Caller) -> None:
        self._name = name
        self._leader = leader
        self._caller = caller
        # In the platform's order, while the list held from views may stand in another.
        self._reported: tuple[BackendRecord, ...] = ()
        self._reported_number = 0

    async def report(self, records: tuple[BackendRecord, ...]) -> None:
        """Tell the leader of the control group what the platform lists now.

        A failure is logged; the next report makes up for it.
        """
        is_held = self._reported_number > 0 and records == self._reported
        try:
            number = await self._send(self._reported_number, None if is_held else records)
            if is_held and number != self._reported_number:
                # A new leader holds no list yet.
                number = await self._send(0, records)
        except PasslaneError as error:
            _log.info("backends_not_reported", code=error.code.value)
        else:
            self._reported = records
            self._reported_number = number

    async def _send(self, number: int, records: tuple[BackendRecord, ...] | None) -> int:
        """Send a report, without records if they are those of ``number``; return its number."""
        report = ReportBackends(name=self._name(), number=number, records=records)
        address = self._leader.address_to_ask()
        answer = await self._caller.call(
            address, report, BackendsReported, timeout_s=REPORT_TIMEOUT_S
        )
        return answer.number
