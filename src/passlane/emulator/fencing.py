"""The fencing tokens that an emulated engine has seen."""


class FencingTokens:
    """Keeps the highest token for each scope and refuses lower ones."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def admit(self, scope: str, token: int) -> bool:
        """Return whether ``token`` is not older than one seen before, and remember it."""
        if token < self.highest(scope):
            return False
        self._highest[scope] = token
        return True

    def highest(self, scope: str) -> int:
        """Return the highest token seen for ``scope``; -1 if there was none."""
        return self._highest.get(scope, -1)


def program_scope(program_id: str) -> str:
    """Return the scope of orders and requests that concern one program."""
    return f"program:{program_id}"
