"""Usage and limit of each tenant within the window.

``quota_ledger`` uses it. It owns one account for each tenant with grants in its window and removes
idle accounts. Nodes send a limit with each draw; the newest version received applies.

Times are local monotonic seconds, amounts are requests.
"""

import msgspec

from passlane.decisions.limits.sliding_window import SlidingWindow
from passlane.messages.quotas import QuotaLimit

SWEEP_PERIOD_S = 10.0
"""Seconds between two sweeps that remove idle accounts."""


class TenantAccount(msgspec.Struct):
    """Grants and limit of one tenant.

    Attributes
    ----------
    sent
        Requests granted within the window.
    programs
        Expected requests of the programs that began within the window.
    limit
        The newest version received; ``None`` before the first.
    """

    sent: SlidingWindow
    programs: SlidingWindow
    limit: QuotaLimit | None = None

    @property
    def active_limit(self) -> QuotaLimit:
        """The limit; it must have been received."""
        assert self.limit is not None
        return self.limit

    def is_idle(self, now: float) -> bool:
        """Whether nothing was granted within the window."""
        return self.sent.total(now) <= 0 and self.programs.total(now) <= 0


class TenantAccounts:
    """Accounts by tenant.

    Parameters
    ----------
    span_s
        Length of a window.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._accounts: dict[str, TenantAccount] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts)

    def get(self, tenant: str) -> TenantAccount | None:
        """Return a tenant's account; ``None`` if it has none."""
        return self._accounts.get(tenant)

    def get_or_create(self, tenant: str) -> TenantAccount:
        """Return a tenant's account; create it if there is none."""
        account = self._accounts.get(tenant)
        if account is None:
            account = TenantAccount(SlidingWindow(self._span_s), SlidingWindow(self._span_s))
            self._accounts[tenant] = account
        return account

    def with_limit(self, limit: QuotaLimit) -> TenantAccount:
        """Return the account of a limit's tenant, with the limit updated if it is newer."""
        account = self.get_or_create(limit.tenant)
        if account.limit is None or limit.version > account.limit.version:
            account.limit = limit
        return account

    def forget_all(self) -> None:
        """Remove all accounts."""
        self._accounts = {}

    def remove_idle(self, now: float) -> None:
        """Remove the accounts without grants in the window, once per sweep period."""
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        accounts = self._accounts.items()
        self._accounts = {name: account for name, account in accounts if not account.is_idle(now)}
