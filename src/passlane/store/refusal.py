"""The exception for commands that the state machine refuses.

It becomes a ``StoreRefusal``, the result that the caller receives.
"""

from passlane.errors import PasslaneError
from passlane.messages.store import StoreRefusal


class CommandRefusedError(PasslaneError):
    """A command violates a rule; raised before any change to the state."""

    def to_result(self) -> StoreRefusal:
        """Return the refusal as a result message."""
        return StoreRefusal(code=self.code, message=self.message)
