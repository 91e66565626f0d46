"""A policy's source, compiled: its functions run within a bounded number of steps."""

import starlark

from passlane.errors import ErrorCode, PasslaneError

STEPS_PER_CHECK = 1_000
"""The interpreter asks whether to go on about once in so many instructions."""

MAX_CALL_DEPTH = 50
FUNCTION_NAMES = ("classify", "budget", "share")


class PolicyError(PasslaneError):
    """A policy could not be compiled, or one of its functions failed.

    Attributes
    ----------
    line
        Line of the source, from 1, if known.
    """

    def __init__(self, message: str, line: int | None = None) -> None:
        super().__init__(ErrorCode.POLICY_ERROR, message)
        self.line = line


class _StepLimit:
    """Bounds the steps of one evaluation by the interpreter's questions whether to go on.

    Questions are counted, not seconds, so that the limit is the same on any machine.
    """

    def __init__(self, max_steps: int) -> None:
        self._questions_left = max(max_steps // STEPS_PER_CHECK, 1)

    def count_question(self) -> bool:
        """Count one question; return whether the interpreter is to stop."""
        self._questions_left -= 1
        return self.is_exceeded

    @property
    def is_exceeded(self) -> bool:
        """Whether the interpreter was told to stop."""
        return self._questions_left < 0


def _options(limit: _StepLimit) -> starlark.EvalOptions:
    return starlark.EvalOptions(
        check_cancelled=limit.count_question, max_callstack_size=MAX_CALL_DEPTH
    )


class CompiledPolicy:
    """A policy ready to be called. It keeps no state between calls and does no I/O.

    Parameters
    ----------
    source
        Starlark text.
    max_steps
        Bound on the instructions of one call; looked at once in ``STEPS_PER_CHECK`` of them.

    Raises
    ------
    PolicyError
        When the source does not parse, or fails when its top level is run.
    """

    def __init__(self, source: str, max_steps: int) -> None:
        self.max_steps = max_steps
        module = starlark.Module()
        limit = _StepLimit(max_steps)
        try:
            ast = starlark.parse("policy", source)
            starlark.eval_with(_options(limit), module, ast, starlark.Globals.standard())
        except starlark.StarlarkError as error:
            raise self._error(error, limit) from error
        self._functions = frozenset(name for name in FUNCTION_NAMES if _defines(module, name))
        self._module = module.freeze()

    def defines(self, function: str) -> bool:
        """Return whether the policy defines a function of that name."""
        return function in self._functions

    def call(self, function: str, argument: dict[str, object]) -> object:
        """Call a function of the policy and return its value as Python objects.

        Raises
        ------
        PolicyError
            When it fails or takes too many steps.
        """
        limit = _StepLimit(self.max_steps)
        try:
            result = self._module.call_with(_options(limit), function, argument)
        except starlark.StarlarkError as error:
            raise self._error(error, limit) from error
        return result.value

    def _error(self, error: starlark.StarlarkError, limit: _StepLimit) -> PolicyError:
        if limit.is_exceeded:
            return PolicyError(f"takes more than {self.max_steps} steps")
        return policy_error(error)


def policy_error(error: starlark.StarlarkError) -> PolicyError:
    """Return the error with the message's gist and the line it names."""
    lines = str(error).splitlines()
    gist = next((line for line in lines if line.startswith("error:")), lines[0] if lines else "")
    line_number = None
    for line in lines:
        name, separator, position = line.strip().removeprefix("--> ").partition(":")
        if separator and name == "policy":
            first = position.split(":")[0]
            line_number = int(first) if first.isdigit() else None
            break
    return PolicyError(gist.removeprefix("error:").strip(), line_number)


def _defines(module: starlark.Module, name: str) -> bool:
    """Return whether the module has a function of that name.

    Functions have no Python counterpart, so that the library refuses to hand one out;
    any value that it does hand out is something else.
    """
    try:
        value = module[name]
    except starlark.StarlarkError:
        # Not handed out, so it is a function.
        return True
    if value is None:
        return False
    raise PolicyError(f"{name!r} must be a function")
