"""Evaluates the functions of a policy; falls back to defaults when one fails.

Validates the returned values and converts them to typed decisions.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from passlane.policy.compiled import CompiledPolicy, PolicyError
from passlane.policy.facts import (
    DEFAULT_CALL_DECISION,
    DEFAULT_PROGRAM_LIMITS,
    DEFAULT_SHARE,
    CallDecision,
    CallFacts,
    ProgramFacts,
    ProgramLimits,
    TenantFacts,
)

MAX_CLASS = 9
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0

Decided = TypeVar("Decided")


@dataclass(frozen=True, slots=True)
class Decision(Generic[Decided]):
    """A decision; ``problem`` is the reason if the default was used because of an error."""

    value: Decided
    problem: PolicyError | None = None


class PolicyEvaluator:
    """Typed access to one compiled policy.

    For a function that the policy does not define, the default is used without a problem.
    """

    def __init__(self, policy: CompiledPolicy) -> None:
        self._policy = policy

    def classify(self, facts: CallFacts) -> Decision[CallDecision]:
        """Return the class and the weight of a call."""
        return self._decide("classify", facts, _parse_call_decision, DEFAULT_CALL_DECISION)

    def budget(self, facts: ProgramFacts) -> Decision[ProgramLimits]:
        """Return the limits of a new program."""
        return self._decide("budget", facts, _parse_limits, DEFAULT_PROGRAM_LIMITS)

    def share(self, facts: TenantFacts) -> Decision[float]:
        """Return the share of a tenant, by which the weight of its calls is multiplied."""
        return self._decide("share", facts, _parse_share, DEFAULT_SHARE)

    def _decide(
        self,
        function: str,
        facts: CallFacts | ProgramFacts | TenantFacts,
        parse: Callable[[object], Decided],
        default: Decided,
    ) -> Decision[Decided]:
        if not self._policy.defines(function):
            return Decision(default)
        try:
            value = self._policy.call(function, msgspec.structs.asdict(facts))
            return Decision(parse(value))
        except PolicyError as error:
            problem = PolicyError(f"{function}: {error.message}", error.line)
            return Decision(default, problem)


def _parse_call_decision(value: object) -> CallDecision:
    fields = _fields(value, {"class", "weight"})
    service_class = _number(fields, "class", DEFAULT_CALL_DECISION.service_class)
    weight = _number(fields, "weight", DEFAULT_CALL_DECISION.weight)
    if service_class is None or service_class != int(service_class):
        raise PolicyError("'class' must be a whole number")
    if not 0 <= service_class <= MAX_CLASS:
        raise PolicyError(f"'class' must be from 0 to {MAX_CLASS}")
    return CallDecision(int(service_class), _checked_weight(weight))


def _parse_limits(value: object) -> ProgramLimits:
    names = set(ProgramLimits.__struct_fields__)
    fields = _fields(value, names)
    for name in names:
        limit = _number(fields, name, None)
        if limit is not None and limit < 0:
            raise PolicyError(f"{name!r} must not be negative")
    try:
        return msgspec.convert(fields, ProgramLimits)
    except msgspec.ValidationError as error:
        raise PolicyError(str(error)) from error


def _parse_share(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PolicyError("a share must be a number")
    return _checked_weight(float(value))


def _checked_weight(weight: float | None) -> float:
    if weight is None or not MIN_WEIGHT <= weight <= MAX_WEIGHT:
        raise PolicyError(f"a weight must be from {MIN_WEIGHT} to {MAX_WEIGHT}")
    return float(weight)


def _fields(value: object, allowed: set[str]) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise PolicyError("must return a dictionary")
    unknown = sorted(str(name) for name in value if name not in allowed)
    if unknown:
        raise PolicyError(f"returned unknown fields: {', '.join(unknown)}")
    return value


def _number(fields: Mapping[str, Any], name: str, default: float | None) -> float | None:
    value = fields.get(name, default)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PolicyError(f"{name!r} must be a number")
    return value
