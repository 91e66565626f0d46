"""Budget accounting of programs: limits, reservations and spending.

A call reserves its maximum cost in the accounts of its program and of all ancestors, and
settles the reservation once it has finished.
"""

from passlane.errors import ErrorCode
from passlane.messages.common import Amounts
from passlane.store.refusal import CommandRefusedError

NO_AMOUNTS = Amounts()


class Account:
    """The budget of one program, shared with its sub-agents.

    ``limit`` is ``None`` for a sub-agent without a limit of its own. Reserved amounts
    count as spent until they are settled, so that a crash never leads to overspending.
    """

    __slots__ = ("limit", "reserved", "spent")

    def __init__(
        self, limit: Amounts | None, reserved: Amounts = NO_AMOUNTS, spent: Amounts = NO_AMOUNTS
    ) -> None:
        self.limit = limit
        self.reserved = reserved
        self.spent = spent

    def can_reserve(self, amounts: Amounts) -> bool:
        """Return whether ``amounts`` fit within the limit, given what is reserved and spent."""
        if self.limit is None:
            return True
        return self.spent.plus(self.reserved).plus(amounts).fits_within(self.limit)

    def reserve(self, amounts: Amounts) -> None:
        """Add ``amounts`` to the reserved amounts."""
        self.reserved = self.reserved.plus(amounts)

    def settle(self, reserved: Amounts, spent: Amounts) -> None:
        """Release a reservation and record the amounts spent."""
        self.reserved = self.reserved.minus(reserved)
        self.spent = self.spent.plus(spent)


class AccountChain:
    """The accounts charged for a program: its own and those of all its ancestors."""

    __slots__ = ("_accounts",)

    def __init__(self, accounts: tuple[Account, ...]) -> None:
        self._accounts = accounts

    def reserve(self, amounts: Amounts) -> None:
        """Reserve ``amounts`` in each account.

        Raises
        ------
        CommandRefusedError
            ``BAD_REQUEST`` for a negative amount; ``BUDGET_EXCEEDED`` when the remaining
            budget of an account is too small. No account is changed in either case.
        """
        require_not_negative(amounts)
        for account in self._accounts:
            if not account.can_reserve(amounts):
                raise CommandRefusedError(
                    ErrorCode.BUDGET_EXCEEDED, "the program's budget has not enough left"
                )
        for account in self._accounts:
            account.reserve(amounts)

    def settle(self, reserved: Amounts, spent: Amounts) -> None:
        """Release a reservation and record the amounts spent, in each account.

        Raises
        ------
        CommandRefusedError
            ``BAD_REQUEST`` for a negative amount; ``BUDGET_EXCEEDED`` when more was
            spent than reserved. No account is changed in either case.
        """
        require_not_negative(spent)
        if not spent.fits_within(reserved):
            raise CommandRefusedError(
                ErrorCode.BUDGET_EXCEEDED, "more was spent than the call had reserved"
            )
        for account in self._accounts:
            account.settle(reserved, spent)

    def renew_reservation(self, old: Amounts, new: Amounts) -> None:
        """Record reservation ``old`` as spent and reserve ``new``, in each account.

        Raises
        ------
        CommandRefusedError
            As ``reserve``; no account is changed then.
        """
        self.reserve(new)
        for account in self._accounts:
            account.settle(old, old)


def require_not_negative(amounts: Amounts) -> None:
    """Refuse amounts with a negative component, which would enlarge a budget."""
    if amounts.tokens < 0 or amounts.calls < 0 or amounts.money_micros < 0:
        raise CommandRefusedError(ErrorCode.BAD_REQUEST, "an amount is negative")
