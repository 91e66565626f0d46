"""The exception by which a command is refused inside the state machine."""

from passlane.errors import ErrorCode
from passlane.messages.store import StoreRefusal


class CommandRefusedError(Exception):
    """A command broke a rule; raised before anything was changed.

    Parameters
    ----------
    code
        Code of the refusal, as the sender gets it.
    message
        One sentence for a person.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def to_result(self) -> StoreRefusal:
        """Return the refusal as a result message."""
        return StoreRefusal(code=self.code, message=self.message)
