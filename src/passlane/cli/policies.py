"""Command ``policy check``: validates policies without a server."""

import importlib
from pathlib import Path
from typing import ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.command import OutputCommand
from passlane.cli.exit_codes import ExitCode
from passlane.configuration.documents import DocumentKind, PolicyBody
from passlane.configuration.files import load_document_files
from passlane.configuration.parsing import parse_body
from passlane.errors import ErrorCode, PasslaneError

DOCUMENT_SUFFIX = ".toml"


class PolicyProblems(msgspec.Struct, frozen=True):
    """Problems found in one policy; the policy is valid if ``problems`` is empty."""

    policy: str
    problems: tuple[str, ...]


class PolicyCheckCommand(OutputCommand):
    """Checks policies without submitting them."""

    name = "policy check"
    description = "Checks a policy's source, or the policies of a document file."
    arguments: ClassVar[list[Argument]] = [argument("file", "Starlark or document file.")]
    extra_options: ClassVar[list[Option]] = [
        option("max-steps", None, "Maximum steps of a call (only for a Starlark file).", flag=False)
    ]

    def execute_command(self) -> ExitCode:
        """Check each policy and print its problems."""
        checking = importlib.import_module("passlane.policy.checking")
        policies = self._policies(Path(self.argument("file")))
        found = [
            PolicyProblems(
                name, tuple(checking.describe_policy_problems(body.source, body.max_steps))
            )
            for name, body in policies
        ]
        if self.wants_json:
            self.show_json(found)
        else:
            self.show_lines([line for entry in found for line in _format_problems(entry)])
        return ExitCode.INVALID if any(entry.problems for entry in found) else ExitCode.OK

    def _policies(self, path: Path) -> list[tuple[str, PolicyBody]]:
        if path.suffix != DOCUMENT_SUFFIX:
            return [(path.name, self._read_source(path))]
        policies: list[tuple[str, PolicyBody]] = []
        for draft in load_document_files(path):
            body = parse_body(draft.kind, draft.body)
            if draft.kind is DocumentKind.POLICY and isinstance(body, PolicyBody):
                policies.append((draft.name, body))
        if not policies:
            raise PasslaneError(ErrorCode.INVALID_DOCUMENT, f"{path}: contains no policy document")
        return policies

    def _read_source(self, path: Path) -> PolicyBody:
        try:
            source = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise PasslaneError(ErrorCode.INVALID_DOCUMENT, f"{path}: {error}") from error
        steps = self.option("max-steps")
        if steps is None:
            return PolicyBody(source=source)
        if not steps.isdecimal() or int(steps) == 0:
            raise PasslaneError(
                ErrorCode.BAD_REQUEST,
                f"--max-steps must be a whole number of at least 1, not {steps!r}",
            )
        return PolicyBody(source=source, max_steps=int(steps))


def _format_problems(entry: PolicyProblems) -> list[str]:
    if not entry.problems:
        return [f"{entry.policy}: ok"]
    return [f"{entry.policy}: {problem}" for problem in entry.problems]
