"""The exception by which a command is refused inside the state machine."""

from passlane.errors import PasslaneError
from passlane.messages.store import StoreRefusal


class CommandRefusedError(PasslaneError):
    """A command broke a rule; raised before anything was changed."""

    def to_result(self) -> StoreRefusal:
        """Return the refusal as a result message."""
        return StoreRefusal(code=self.code, message=self.message)
