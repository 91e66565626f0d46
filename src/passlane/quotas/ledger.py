"""Grants tenants' requests over all nodes together; kept by the leader of the store group.

A state machine without I/O or clock. What it has granted in any span of time is at most the
rate times the span, plus the burst. A request that must wait for its moment is granted with
that moment, so that nobody has to ask again.

A program that is refused midway has cost engines' time and is worth nothing. So the limit is
met where programs begin: a new one is granted only while the programs begun of late, at what
a program is seen to need, leave room for it. Requests of programs under way may wait for
their moment; a new program may do so for a shorter time.

A leader begins with nothing saved up, whatever the leader before has granted: no change of
leader and no restart gives a tenant its burst anew. It even begins with a small debt, for
requests that the leader before has granted for moments still to come.
"""

import msgspec

from passlane.messages.quotas import (
    QuotaAnswer,
    QuotaDraw,
    QuotaGranted,
    QuotaLimit,
    QuotaRefused,
    QuotaUse,
)
from passlane.quotas.rate_limit import MIN_RETRY_AFTER_S, TokenBucket

LONGEST_WAIT_S = {
    QuotaUse.BEGIN_PROGRAM: 0.25,
    QuotaUse.CONTINUE_PROGRAM: 0.4,
    QuotaUse.ALONE: 0.1,
}
"""A request whose moment lies further ahead is refused. A program of some seconds that is to
end within 1.3 times its own length bears a wait of 0.25 s; once under way, to be late is
better than to be lost. Such grants outlive their leader: the longest wait, less the debt of a
new leader, is what each change of leader may add to the rate."""
START_DEBT_S = 0.2
"""Seconds' worth of the rate that a new leader counts as granted by the one before. With it
two changes within a window of 5 s stay inside the tenth of the limit that may be exceeded."""
BEGIN_SPREAD_S = 2.0
"""What a program needs is spread over at least so long: the shortest take about 2 s."""
EXPECTED_REQUESTS = 12.0
"""Requests of a program, turns and tool calls, before any were seen: some 3 to 11 turns with
2 calls each."""
EXPECTED_WEIGHT = 20.0
"""Programs' worth of weight that this expectation has against what is seen."""
FORGET_SHARE = 0.998
"""Share of what was seen that still counts after one more program has begun. Programs that
have just begun have made few of their requests, so some hundred are looked back on."""
AHEAD_SHARE = 0.5
"""Requests are granted ahead only out of what exceeds this share of the burst."""
FORGET_IDLE_S = 60.0
"""A tenant that has drawn nothing for so long is forgotten; it starts anew with nothing."""
SWEEP_PERIOD_S = 10.0


class _Account(msgspec.Struct):
    """What one tenant was granted.

    ``programs`` is charged, when a program begins, with all that it is expected to need.
    """

    version: int
    sent: TokenBucket
    programs: TokenBucket
    drawn_at: float


class QuotaLedger:
    """Grants and refusals of one term of leadership.

    Parameters
    ----------
    puts_programs_first
        Whether new programs give way to those under way; else the order of arrival decides.
    """

    def __init__(self, *, puts_programs_first: bool = True) -> None:
        self._puts_programs_first = puts_programs_first
        self._accounts: dict[str, _Account] = {}
        # Programs and their requests, of all tenants; the older the less they count.
        self._begun = EXPECTED_WEIGHT
        self._requests = EXPECTED_WEIGHT * EXPECTED_REQUESTS
        self._term = -1
        self._began_at = 0.0
        self._swept_at = 0.0

    @property
    def program_need(self) -> float:
        """Requests that a program is expected to need."""
        return self._requests / self._begun

    def __len__(self) -> int:
        return len(self._accounts)

    def enter_term(self, term: int, now: float) -> None:
        """Begin anew if this is another term of leadership than the last one."""
        if term == self._term:
            return
        self._term = term
        self._accounts = {}
        self._began_at = now

    def draw(self, draw: QuotaDraw, now: float) -> QuotaAnswer:
        """Grant what is asked for, or refuse it with the time to come back."""
        account = self._account(draw.limit, now)
        start_after_s = 0.0
        if draw.use is not None:
            wait_s = self._wait_s(account, draw.use, now)
            if wait_s > LONGEST_WAIT_S[draw.use]:
                return self._refuse(account, wait_s, now)
            self._take(account, draw.use, now)
            start_after_s = wait_s
        return QuotaGranted(start_after_s, self._take_ahead(account, draw.ahead, now))

    def give_back(self, tenant: str, now: float) -> None:
        """Take back one request that was granted and will never be sent."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.sent.available(now)
            account.sent.give_back(1)

    def _account(self, limit: QuotaLimit, now: float) -> _Account:
        """Return a tenant's account under the newest limit that any node has told."""
        self._forget_idle(now)
        account = self._accounts.get(limit.tenant)
        if account is None:
            account = self._open_account(limit, now)
            self._accounts[limit.tenant] = account
        elif limit.version > account.version:
            account.version = limit.version
            account.sent.change(limit.rate_per_s, limit.burst)
            account.programs.change(limit.rate_per_s, _programs_burst(limit))
        account.drawn_at = now
        return account

    def _open_account(self, limit: QuotaLimit, now: float) -> _Account:
        """Open an account that has saved up since this leadership began, if not longer."""
        sent = TokenBucket(limit.rate_per_s, limit.burst, is_empty=True)
        programs = TokenBucket(limit.rate_per_s, _programs_burst(limit))
        sent.take(START_DEBT_S * limit.rate_per_s, self._began_at)
        sent.available(now)
        return _Account(limit.version, sent, programs, now)

    def _wait_s(self, account: _Account, use: QuotaUse, now: float) -> float:
        """Return the seconds until a request's moment."""
        wait_s = account.sent.wait_s(1, now)
        if use is QuotaUse.BEGIN_PROGRAM and self._puts_programs_first:
            wait_s = max(wait_s, account.programs.wait_s(self.program_need, now))
        return wait_s

    def _take(self, account: _Account, use: QuotaUse, now: float) -> None:
        account.sent.take(1, now)
        if use is QuotaUse.ALONE:
            return
        self._requests += 1
        if use is QuotaUse.BEGIN_PROGRAM:
            account.programs.take(self.program_need, now)
            self._begun = self._begun * FORGET_SHARE + 1
            self._requests *= FORGET_SHARE

    def _take_ahead(self, account: _Account, wanted: int, now: float) -> int:
        """Grant requests ahead as long as enough is left for those that come without."""
        spare = account.sent.available(now) - AHEAD_SHARE * account.sent.burst
        granted = max(0, min(wanted, int(spare)))
        account.sent.take(granted, now)
        self._requests += granted
        return granted

    def _refuse(self, account: _Account, wait_s: float, now: float) -> QuotaRefused:
        return QuotaRefused(
            retry_after_s=max(wait_s, MIN_RETRY_AFTER_S),
            available=account.sent.available(now),
            rate_per_s=account.sent.rate_per_s,
            version=account.version,
        )

    def _forget_idle(self, now: float) -> None:
        """Forget tenants that have long drawn nothing.

        Such a tenant has saved up its burst; to open its account anew gives it as much as
        was saved up since this leadership began, which is no more.
        """
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        self._accounts = {
            tenant: account
            for tenant, account in self._accounts.items()
            if now - account.drawn_at < FORGET_IDLE_S or account.sent.wait_s(1, now) > 0
        }


def _programs_burst(limit: QuotaLimit) -> float:
    """Return the requests that programs which begin at once may come to need."""
    return max(limit.burst + BEGIN_SPREAD_S * limit.rate_per_s, EXPECTED_REQUESTS)
