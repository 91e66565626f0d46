"""Commands that list, show and explain programs."""

from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.messages.store import ProgramRecord


class ProgramsListCommand(OperatorCommand):
    """Lists programs."""

    name = "programs list"
    description = "Lists the programs of the server's region."

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print one line for each program."""
        found = await client.list_programs()
        if self.wants_json:
            self.show_json(found)
            return ExitCode.OK
        if not found.programs:
            self.show_lines(["no programs in the server's region"])
            return ExitCode.OK
        rows = [
            (
                program.program_id,
                program.tenant_id,
                program.state.value,
                program.partition,
                program.calls,
                f"{program.spent.tokens}/{program.budget.tokens}",
            )
            for program in found.programs
        ]
        self.show_table(("PROGRAM", "TENANT", "STATE", "PARTITION", "CALLS", "TOKENS"), rows)
        return ExitCode.OK


class ProgramsShowCommand(OperatorCommand):
    """Shows one program."""

    name = "programs show"
    description = "Shows the record of a program: history, calls, budget, memory held."
    arguments: ClassVar[list[Argument]] = [argument("program", "Program id.")]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the record."""
        record = await client.read_program(self.argument("program"))
        if self.wants_json:
            self.show_json(record)
        else:
            self._show(record)
        return ExitCode.OK

    def _show(self, record: ProgramRecord) -> None:
        lines = [
            f"program {record.program_id} of {record.tenant_id}, {record.state.value}, "
            f"partition {record.partition}",
            f"spent {_format_amounts(record.spent)}; reserved {_format_amounts(record.reserved)}; "
            f"budget {_format_amounts(record.budget)}",
        ]
        for call in record.calls:
            verdict = "" if call.outcome is None else f", {call.outcome.verdict.value}"
            lines.append(
                f"call {call.sequence} {call.call_id}: {call.kind.value} {call.target}, "
                f"{call.state.value}{verdict}"
            )
        lines += [f"{turn.role}: {turn.content}" for turn in record.turns]
        lines += [f"engine {hold.engine_id} holds memory" for hold in record.holds]
        self.show_lines(lines)


class ProgramsExplainCommand(OperatorCommand):
    """Explains a program's last model call."""

    name = "programs explain"
    description = "Explains the placement of a program's last model call and the policy applied."
    arguments: ClassVar[list[Argument]] = [argument("program", "Program id.")]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the explanation."""
        found = await client.explain_program(self.argument("program"))
        if self.wants_json:
            self.show_json(found)
            return ExitCode.OK
        placement = found.placement or "no model call since this node leads the program"
        self.show_lines(
            [
                f"program {found.program_id}, led by {found.leader}",
                f"placement: {placement}",
                f"policy: {found.policy}",
            ]
        )
        return ExitCode.OK


def _format_amounts(amounts: msgspec.Struct) -> str:
    parts: dict[str, Any] = msgspec.structs.asdict(amounts)
    return ", ".join(f"{value} {name}" for name, value in parts.items())
