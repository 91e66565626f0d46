"""Enforces the tenants' rate limits over all nodes; kept by the leader of the store group.

It owns the grants of each tenant (``tenant_accounts``) and the usage that replicas have received
(``usage_history``), without I/O or clock. The rules:

1. Any window holds at most the rate times the window, plus the burst. A request that must wait is
   granted with its start time, so it need not ask again.
2. A new program is granted only while the expected requests (``program_needs``) of the programs
   that began within the window fit the limit, because refusing a running program wastes its work.
3. Requests of running programs may use a part of the excess that the operator allows.
4. A new leader continues from the replicated usage, so a failover or a restart gives a tenant no
   second burst. Grants that are not yet replicated (``unreported_grants``) are bounded.

In the log line ``quota_refused``, ``window_used`` and ``window_capacity`` are ``used`` and
``capacity`` of ``QuotaLedger._refuse``. Times are local monotonic seconds, amounts are requests.
"""

from collections.abc import Iterable

import msgspec

from passlane.decisions.limits.allowances import ADVANCE_GRANT_TTL_S
from passlane.decisions.limits.program_needs import ProgramNeeds
from passlane.decisions.limits.tenant_accounts import TenantAccount, TenantAccounts
from passlane.decisions.limits.unreported_grants import UnreportedGrants
from passlane.decisions.limits.usage_history import UsageHistory
from passlane.messages.quotas import (
    QuotaAnswer,
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRefused,
    QuotaRequest,
    TenantUsage,
)

MAX_WAIT_S = {
    QuotaPurpose.BEGIN_PROGRAM: 0.25,
    QuotaPurpose.CONTINUE_PROGRAM: 0.8,
    QuotaPurpose.STANDALONE: 0.1,
}
"""Maximum wait in seconds by use; a request that would wait longer is refused. The limit is higher
for a running program, because a refusal would waste its work. A program of some seconds that should
end within 1.3 times its duration tolerates 0.25 s."""
MIN_RETRY_AFTER_S = 0.05
"""Minimum retry interval of a refused request, in seconds."""
EXCESS_SHARE = 0.5
"""Share of the allowed excess that running programs may use. The rest covers grants that were not
replicated when a leader failed, and requests that reach an engine late. With 0.75, and two faults
elsewhere, tenants got 121 requests where 119 are allowed on a day on which leaders failed."""
UNREPORTED_SHARE = 0.2
"""Share of the allowed excess that may be granted before it is reported to the replicas. The grants
lost with two failed leaders in one window stay within the excess. Without a bound, a partitioned
leader let 742 requests through where 570 are allowed."""
MIN_UNREPORTED = 1.0
"""Requests that may be unreported even if no excess is allowed: then each grant but one is reported
at once."""
ADVANCE_SHARE = 0.5
"""Share of the limit up to which requests are granted in advance."""
MIN_ADVANCE_CAPACITY = 200
"""Requests in a window; smaller limits get no advance grants, because unused ones would take too
large a part of them. Such tenants send few calls, so a request for each costs the leader little."""
NEW_PROGRAM_FACTOR = 1.0
"""Multiple of the limit that the programs begun within a window may be expected to need. Above 1,
running programs have to wait: with 1.5, each of their turns waited for 0.8 s."""
TIME_REPORT_INTERVAL_S = 0.3
"""Interval at which the group's time is replicated while grants are recorded and none are new."""
DELIVERY_JITTER_S = 0.1
"""Seconds; variation of the delay from a grant to the request's arrival at the engine, mostly the
queueing at a busy node. Windows are extended by it."""


class QuotaRules(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's rules for limits.

    Attributes
    ----------
    window_s
        Length in seconds of the sliding window to which a limit applies.
    overage
        Share of the limit by which it may be exceeded.
    slack
        Requests by which it may be exceeded in addition.
    puts_programs_first
        Whether running programs have priority over new ones; otherwise requests are granted in
        order of arrival.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0
    puts_programs_first: bool = True

    def capacity(self, limit: QuotaLimit) -> float:
        """Return how many requests a limit allows within a window; at least one."""
        return max(1.0, limit.rate_per_s * self.window_s + limit.burst)

    def excess(self, capacity: float) -> float:
        """Return by how many requests a limit may be exceeded within a window."""
        return capacity * self.overage + self.slack


class QuotaLedger:
    """Grants or refuses draws on the leader, and tracks the replicated usage on followers."""

    def __init__(self, rules: QuotaRules) -> None:
        self._rules = rules
        self._accounts = TenantAccounts(rules.window_s + DELIVERY_JITTER_S)
        self._history = UsageHistory(rules.window_s + DELIVERY_JITTER_S)
        self._needs = ProgramNeeds()
        self._unreported = UnreportedGrants()
        self._term_started_at = 0.0
        self._term_started_group_s = 0.0
        self._term = -1
        self._is_time_reported = False

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def history(self) -> UsageHistory:
        """The replicated usage, for the group's snapshots."""
        return self._history

    def enter_term(self, term: int, now: float) -> None:
        """Rebuild the accounts from the replicated usage, if the term has changed."""
        if term == self._term:
            return
        self._term = term
        self._accounts.forget_all()
        self._unreported = UnreportedGrants()
        self._term_started_at, self._term_started_group_s = now, self._history.newest_s
        self._is_time_reported = False
        for grant in self._history.grants(now):
            self._accounts.get_or_create(grant.tenant).sent.add(grant.granted, grant.at)

    def apply_replicated(
        self, usages: Iterable[TenantUsage], group_s: float, received_at: float | None = None
    ) -> None:
        """Apply the usage that a leader has replicated, as of a time on the group's clock.

        ``received_at`` is the local time at which it was applied; ``None`` if unknown.
        """
        self._history.record(usages, group_s, received_at)
        self._is_time_reported = True

    def must_report_time(self, now: float) -> bool:
        """Whether the group's time is to be replicated although nothing was granted.

        Without it, the grants of a window would never expire while no leader lasts for a window.
        """
        if not len(self._history):
            return False
        since_report_s = self._history.unreported_s(now)
        return not self._is_time_reported or since_report_s >= TIME_REPORT_INTERVAL_S

    def group_time_s(self, now: float) -> float:
        """Return the time on the group's clock, which the leader advances."""
        return self._term_started_group_s + now - self._term_started_at

    def take_unreported(self, now: float) -> tuple[TenantUsage, ...]:
        """Return the usage since the last call, to be replicated.

        It stays unreported until ``record_report``.
        """
        return self._unreported.take(now)

    def record_report(self, usages: Iterable[TenantUsage], *, is_reported: bool) -> None:
        """Record whether a majority has recorded the usage; if not, it is unreported again."""
        self._unreported.record_report(usages, is_reported=is_reported)

    def must_tell(self, limit: QuotaLimit) -> bool:
        """Whether a tenant's unreported grants exceed their bound and must be reported first."""
        capacity = self._rules.capacity(self._accounts.with_limit(limit).active_limit)
        max_unreported = max(MIN_UNREPORTED, UNREPORTED_SHARE * self._rules.excess(capacity))
        return self._unreported.outstanding(limit.tenant) > max_unreported

    def draw(self, draw: QuotaRequest, now: float) -> QuotaAnswer:
        """Grant a draw, or refuse it with the time after which to retry."""
        self._accounts.remove_idle(now)
        account = self._accounts.with_limit(draw.limit)
        start_after_s = 0.0
        if draw.use is not None:
            self._needs.record(draw.route, draw.use)
            start_after_s = self._wait_s(account, draw, draw.use, now)
            if start_after_s > MAX_WAIT_S[draw.use]:
                return self._refuse(account, start_after_s, now)
            self._grant_request(account, draw, now + start_after_s)
        return QuotaGranted(start_after_s, self._grant_in_advance(account, draw, now))

    def note_sent(self, draw: QuotaRequest, scheduled_at: float, now: float) -> None:
        """Record that a granted request was delayed, such as by queueing, and is sent only now.

        It counts from ``now`` here, and on the replicas after the next report. Such delays are
        shorter than a window, so the request has counted without a gap.
        """
        account = self._accounts.get(draw.limit.tenant)
        if account is not None and now - scheduled_at > DELIVERY_JITTER_S:
            account.sent.move(scheduled_at, now)
            self._unreported.record_delayed(draw.limit.tenant)

    def refund(self, draw: QuotaRequest) -> None:
        """Return the grant of one request that will not be sent.

        If it was to begin a program, the program's expected requests are returned too.
        """
        account = self._accounts.get(draw.limit.tenant)
        if account is None:
            return
        account.sent.remove_newest(1)
        if draw.use is QuotaPurpose.BEGIN_PROGRAM:
            account.programs.remove_newest(self._needs.estimate(draw.route))
            self._needs.undo_begin(draw.route)

    def _wait_s(
        self, account: TenantAccount, draw: QuotaRequest, use: QuotaPurpose, now: float
    ) -> float:
        """Return the seconds until a request may be sent."""
        capacity = self._rules.capacity(account.active_limit)
        if use is QuotaPurpose.CONTINUE_PROGRAM:
            with_excess = capacity + EXCESS_SHARE * self._rules.excess(capacity)
            return account.sent.wait_s(1, with_excess, now)
        wait_s = account.sent.wait_s(1, capacity, now)
        if use is QuotaPurpose.BEGIN_PROGRAM and self._rules.puts_programs_first:
            wait_s = max(wait_s, self._program_wait_s(account, draw.route, now))
        return wait_s

    def _program_wait_s(self, account: TenantAccount, route: str, now: float) -> float:
        """Return the seconds until the expected requests of one more program fit the limit.

        A program that needs more than the whole limit may begin when no other one counts.
        """
        capacity = self._rules.capacity(account.active_limit)
        need = min(self._needs.estimate(route), capacity)
        return account.programs.wait_s(need, NEW_PROGRAM_FACTOR * capacity, now)

    def _grant_request(self, account: TenantAccount, draw: QuotaRequest, at: float) -> None:
        self._grant(account, draw.limit.tenant, 1, at)
        if draw.use is QuotaPurpose.BEGIN_PROGRAM:
            account.programs.add(self._needs.estimate(draw.route), at)

    def _grant_in_advance(self, account: TenantAccount, draw: QuotaRequest, now: float) -> int:
        """Grant requests in advance while enough capacity is left for individual draws.

        They count until one window after they expire.
        """
        capacity = self._rules.capacity(account.active_limit)
        if capacity < MIN_ADVANCE_CAPACITY:
            return 0
        spare = ADVANCE_SHARE * capacity - account.sent.total(now)
        granted = max(0, min(draw.ahead, int(spare)))
        if granted:
            self._needs.record_advance_calls(granted)
            self._grant(account, draw.limit.tenant, granted, now + ADVANCE_GRANT_TTL_S)
        return granted

    def _grant(self, account: TenantAccount, tenant: str, count: int, at: float) -> None:
        account.sent.add(count, at)
        self._unreported.record(tenant, count, at)

    def _refuse(self, account: TenantAccount, wait_s: float, now: float) -> QuotaRefused:
        return QuotaRefused(
            retry_after_s=max(wait_s, MIN_RETRY_AFTER_S),
            used=account.sent.total(now),
            capacity=self._rules.capacity(account.active_limit),
            version=account.active_limit.version,
        )
