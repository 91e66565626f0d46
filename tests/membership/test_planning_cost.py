"""Cost of one planning round, as the number of executed lines, which is deterministic."""

import sys
import unittest
from collections.abc import Callable
from types import FrameType
from typing import Any

from passlane.identifiers import NodeId, Revision
from passlane.membership.lease_table import LeaseTable
from passlane.messages.common import Address
from passlane.messages.membership import NodeHeartbeat
from passlane.settings.model import MembershipSettings

NO_REVISION = Revision(0)
JOINED_AT = 3.0
"""After the initial wait of a new leader, so that the table assigns partitions."""


def executed_lines(action: Callable[[], object]) -> int:
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


def table_of(nodes: int, partitions: int) -> LeaseTable:
    table = LeaseTable(MembershipSettings(partitions=partitions), (), now=0.0)
    for number in range(nodes):
        heartbeat = NodeHeartbeat(
            node_id=NodeId(f"n{number}"),
            incarnation=number + 1,
            address=Address("127.0.0.1", 1),
            zone="z",
            prepared_revision=NO_REVISION,
            revision_in_force=NO_REVISION,
            table_version=0,
        )
        table.answer_heartbeat(heartbeat, NO_REVISION, JOINED_AT)
    return table


def lines_without_changes(nodes: int, partitions: int) -> int:
    table = table_of(nodes, partitions)
    table.record_assignments(table.plan_assignments(JOINED_AT))
    return executed_lines(lambda: table.plan_assignments(JOINED_AT + 0.1))


class PlanningCostTest(unittest.TestCase):
    def test_cost_without_changes_is_not_proportional_to_nodes_times_partitions(self) -> None:
        small = lines_without_changes(nodes=40, partitions=60)
        large = lines_without_changes(nodes=120, partitions=180)
        self.assertLess(large, 4 * small)


if __name__ == "__main__":
    unittest.main()
