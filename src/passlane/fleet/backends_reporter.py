"""Reports the platform's list of backends to the control leader.

For: one node reads the platform's list for all nodes; the leader distributes it with views.
Owns: the last reported list, so that an unchanged list is sent as its number only.
Relies on: ``ControlLeader`` for the address.
"""

from collections.abc import Callable

from passlane.errors import PasslaneError
from passlane.fleet.control_leader import ControlLeader
from passlane.messages.listing import BackendRecord, BackendsReported, ReportBackends
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller

REPORT_TIMEOUT_S = 0.5
"""Timeout of a report; a failed report is superseded by the next one."""

_log = get_logger(__name__)


class BackendsReporter:
    """Reports the list of backends that this process has read.

    Parameters
    ----------
    name
        Returns the name of the machine, as sent in its heartbeats.
    """

    def __init__(self, name: Callable[[], str], leader: ControlLeader, caller: Caller) -> None:
        self._name = name
        self._leader = leader
        self._caller = caller
        # In the platform's order; the cached list from views may have another order.
        self._reported: tuple[BackendRecord, ...] = ()
        self._reported_number = 0

    async def report(self, records: tuple[BackendRecord, ...]) -> None:
        """Report the platform's current list to the leader of the control group.

        A failure is logged; the next report replaces the failed one.
        """
        is_unchanged = self._reported_number > 0 and records == self._reported
        try:
            number = await self._send(self._reported_number, None if is_unchanged else records)
            if is_unchanged and number != self._reported_number:
                # A new leader has no list yet.
                number = await self._send(0, records)
        except PasslaneError as error:
            _log.info("backends_not_reported", code=error.code.value)
        else:
            self._reported = records
            self._reported_number = number

    async def _send(self, number: int, records: tuple[BackendRecord, ...] | None) -> int:
        """Send a report and return the leader's list number.

        ``records`` is ``None`` if the list is unchanged since ``number``.
        """
        report = ReportBackends(name=self._name(), number=number, records=records)
        address = self._leader.target_address()
        answer = await self._caller.call(
            address, report, BackendsReported, timeout_s=REPORT_TIMEOUT_S
        )
        return answer.number
