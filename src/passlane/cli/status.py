"""Command ``status``: shows the state of the control group and the server's region."""

from collections.abc import Iterator

from passlane.api.operator_views import SystemStatus
from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.messages.control import RegionProgress
from passlane.messages.membership import NodeView

REGION_HEADER = ("REGION", "NODES", "PREPARED", "IN FORCE", "LAST REPORT")
NODE_HEADER = ("NODE", "ZONE", "STATE", "PARTITIONS", "PREPARED", "IN FORCE")
UNKNOWN_TERM = 0
"""Term in the status if the control group did not respond."""

PENDING_HEADER = ("PENDING", "DOCUMENT", "CHANGE")


class StatusCommand(OperatorCommand):
    """Shows the state of the control group and the server's region."""

    name = "status"
    description = "Shows regions, nodes, leaders, partitions and pending changes."

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the status; return ``UNAVAILABLE`` if a group did not respond."""
        status = await client.read_status()
        if self.wants_json:
            self.show_json(status)
        else:
            self._show(status)
        return ExitCode.UNAVAILABLE if status.problems else ExitCode.OK

    def _show(self, status: SystemStatus) -> None:
        self.show_lines(list(_summary(status)))
        if status.regions:
            rows = [_region_row(region) for region in status.regions]
            self.show_lines([""])
            self.show_table(REGION_HEADER, rows)
            self.show_lines(
                [line for region in status.regions for line in _describe_lagging_nodes(region)]
            )
        if status.nodes:
            self.show_lines([""])
            self.show_table(NODE_HEADER, [_node_row(node) for node in status.nodes])
        if status.pending:
            rows = [
                (
                    change.revision,
                    f"{change.kind}/{change.name}",
                    "deletion" if change.is_deletion else f"version {change.version}",
                )
                for change in status.pending
            ]
            self.show_lines([""])
            self.show_table(PENDING_HEADER, rows)
        self.show_lines([f"problem: {problem}" for problem in status.problems])


def _summary(status: SystemStatus) -> Iterator[str]:
    yield f"answered by {status.process}, region {status.region}, zone {status.zone}"
    leader = next((str(item.address) for item in status.control_members if item.is_leader), None)
    members = ", ".join(str(item.address) for item in status.control_members)
    yield f"control group: leader {leader or 'unknown'}, term {status.control_term}, of {members}"
    yield f"store group of the region: {', '.join(map(str, status.store_members))}"
    if status.control_term == UNKNOWN_TERM:
        yield "configuration: unknown, the control group did not respond"
        return
    yield (
        f"configuration: newest revision {status.newest_revision}, "
        f"accepted {status.accepted_revision}, {status.pending_count} pending"
    )


def _region_row(region: RegionProgress) -> tuple[object, ...]:
    age = region.report_age_s
    return (
        region.region,
        region.member_count,
        region.prepared_revision,
        region.revision_in_force,
        "none yet" if age is None else f"{age:.1f} s ago",
    )


def _describe_lagging_nodes(region: RegionProgress) -> Iterator[str]:
    for member in region.laggards:
        yield (
            f"behind in {region.region}: node {member.node_id}, "
            f"prepared {member.prepared_revision}, in force {member.revision_in_force}"
        )


def _node_row(node: NodeView) -> tuple[object, ...]:
    return (
        node.node_id,
        node.zone,
        _node_state(node),
        node.partitions,
        node.prepared_revision,
        node.revision_in_force,
    )


def _node_state(node: NodeView) -> str:
    if not node.has_lease:
        return "no lease"
    return "leaving" if node.draining else "serving"
