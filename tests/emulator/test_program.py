"""Programs of one command and of several take their options and refuse unknown ones."""

import contextlib
import io
import unittest
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.emulator.program import EXIT_USAGE, run_commands, run_single_command


class EchoCommand(Command):
    name = "echo"
    options: ClassVar[list[Option]] = [option("code", None, "Exit code.", flag=False, default="0")]

    def handle(self) -> int:
        return int(self.option("code"))


class ProgramTest(unittest.TestCase):
    def test_a_single_command_takes_options_without_its_name(self) -> None:
        self.assertEqual(0, run_single_command(EchoCommand(), []))
        self.assertEqual(7, run_single_command(EchoCommand(), ["--code", "7"]))

    def test_one_of_several_commands_is_named(self) -> None:
        self.assertEqual(7, run_commands("program", [EchoCommand()], ["echo", "--code", "7"]))

    def test_what_is_unknown_is_refused_with_a_message(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as printed:
            self.assertEqual(EXIT_USAGE, run_single_command(EchoCommand(), ["--other"]))
            self.assertEqual(EXIT_USAGE, run_commands("program", [EchoCommand()], ["other"]))
        self.assertIn('echo: The option "--other" does not exist', printed.getvalue())
        self.assertIn("program: ", printed.getvalue())


if __name__ == "__main__":
    unittest.main()
