"""Compiles policies and calls their functions within a bounded number of steps.

Wraps the Starlark interpreter and converts its errors.
"""

import starlark

from passlane.errors import ErrorCode, PasslaneError

STEPS_PER_CHECK = 1_000
"""Approximate number of instructions between two cancellation checks of the interpreter."""

MAX_CALL_DEPTH = 50
FUNCTION_NAMES = ("classify", "budget", "share")


class PolicyError(PasslaneError):
    """A policy could not be compiled, or one of its functions failed.

    Attributes
    ----------
    line
        Line of the source, starting at 1, if known.
    """

    def __init__(self, message: str, line: int | None = None) -> None:
        super().__init__(ErrorCode.POLICY_ERROR, message)
        self.line = line


class _StepLimit:
    """Bounds the steps of one evaluation by counting the interpreter's cancellation checks.

    The limit does not depend on time, so that it is the same on all machines.
    """

    def __init__(self, max_steps: int) -> None:
        self._checks_left = max(max_steps // STEPS_PER_CHECK, 1)

    def count_check(self) -> bool:
        """Count one cancellation check; return whether the interpreter must stop."""
        self._checks_left -= 1
        return self.is_exceeded

    @property
    def is_exceeded(self) -> bool:
        """Whether the interpreter was stopped."""
        return self._checks_left < 0


def _options(limit: _StepLimit) -> starlark.EvalOptions:
    return starlark.EvalOptions(
        check_cancelled=limit.count_check, max_callstack_size=MAX_CALL_DEPTH
    )


class CompiledPolicy:
    """A compiled policy. It keeps no state between calls and does no I/O.

    Parameters
    ----------
    source
        Starlark source.
    max_steps
        Maximum number of instructions of one call, checked every ``STEPS_PER_CHECK``.

    Raises
    ------
    PolicyError
        When the source does not parse or its top level fails.
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
        """Return whether the policy defines a function with this name."""
        return function in self._functions

    def call(self, function: str, argument: dict[str, object]) -> object:
        """Call a function of the policy and return its value as Python objects.

        Raises
        ------
        PolicyError
            When the function fails or exceeds the maximum number of steps.
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
        return error_from_starlark(error)


def error_from_starlark(error: starlark.StarlarkError) -> PolicyError:
    """Return the error with the main line of the message and the source line."""
    lines = str(error).splitlines()
    error_line = next(
        (line for line in lines if line.startswith("error:")), lines[0] if lines else ""
    )
    line_number = None
    for line in lines:
        name, separator, position = line.strip().removeprefix("--> ").partition(":")
        if separator and name == "policy":
            first = position.split(":")[0]
            line_number = int(first) if first.isdigit() else None
            break
    return PolicyError(error_line.removeprefix("error:").strip(), line_number)


def _defines(module: starlark.Module, name: str) -> bool:
    """Return whether the module has a function with this name.

    The library raises an error for functions, which it cannot convert to Python. A value
    that it does return is not a function.
    """
    try:
        value = module[name]
    except starlark.StarlarkError:
        # Not convertible, so it is a function.
        return True
    if value is None:
        return False
    raise PolicyError(f"{name!r} must be a function")
