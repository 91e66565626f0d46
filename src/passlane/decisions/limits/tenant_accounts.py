"""What each tenant was granted within the window, and under which limit.

It is for ``quota_ledger``. It owns one account for each tenant with anything in its window and
forgets the others. It relies on nodes to tell a limit with each draw: the newest version that any
node has told counts.

Times are local monotonic seconds, amounts are requests.
"""

import msgspec

from passlane.decisions.limits.sliding_window import SlidingWindow
from passlane.messages.quotas import QuotaLimit

SWEEP_PERIOD_S = 10.0
"""Seconds between two looks for tenants with nothing in their window, which are forgotten. Not
measured; chosen."""


class TenantAccount(msgspec.Struct):
    """What one tenant was granted within the window.

    Attributes
    ----------
    sent
        Requests granted.
    programs
        When a program begins, all that it is expected to need.
    limit
        The newest that a node has told; ``None`` while none has.
    """

    sent: SlidingWindow
    programs: SlidingWindow
    limit: QuotaLimit | None = None

    @property
    def known_limit(self) -> QuotaLimit:
        """The limit of an account on which somebody draws."""
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

    def of(self, tenant: str) -> TenantAccount:
        """Return a tenant's account, a new one if it has none."""
        account = self._accounts.get(tenant)
        if account is None:
            account = TenantAccount(SlidingWindow(self._span_s), SlidingWindow(self._span_s))
            self._accounts[tenant] = account
        return account

    def under(self, limit: QuotaLimit) -> TenantAccount:
        """Return a tenant's account under the newest limit that any node has told."""
        account = self.of(limit.tenant)
        if account.limit is None or limit.version > account.limit.version:
            account.limit = limit
        return account

    def forget_all(self) -> None:
        """Begin without any account."""
        self._accounts = {}

    def forget_idle(self, now: float) -> None:
        """Forget, now and then, tenants that were granted nothing within the window."""
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        accounts = self._accounts.items()
        self._accounts = {name: account for name, account in accounts if not account.is_idle(now)}
