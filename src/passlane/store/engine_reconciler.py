"""Loads and unloads models so that engines match the accepted configuration.

Runs on the store leader of a region. It periodically compares the models that each
engine in the region's zones serves with the configured ones and sends orders with a
fencing token. Checks are spread evenly and their rate is bounded, however many engines
there are.
"""

import anyio

from passlane.backends.engine_client import EngineClient
from passlane.backends.failures import BackendError
from passlane.configuration.documents import DocumentKind, EngineBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import parse_recorded
from passlane.identifiers import EngineId, Revision
from passlane.membership.lease_table import LeaseTable
from passlane.messages.control import NO_REVISION, Document
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import HttpClient
from passlane.store.engine_targets import EngineTarget, orders_for

CHECK_INTERVAL_S = 5.0
"""Interval between two checks of an engine, unless ``MAX_CHECKS_PER_S`` requires more."""

MAX_CHECKS_PER_S = 10.0
MAX_CONCURRENT_CHECKS = 8

logger = get_logger(__name__)


class EngineReconciler:
    """Checks engines and sends them model orders while this replica leads.

    Parameters
    ----------
    configuration
        The region's copy of the configuration; only accepted documents are used.
    lease_table
        Provides the zones of the region's nodes.
    """

    def __init__(
        self, configuration: ConfigurationLedger, lease_table: LeaseTable, http_client: HttpClient
    ) -> None:
        self._configuration = configuration
        self._lease_table = lease_table
        self._http_client = http_client
        self._check_limiter = anyio.Semaphore(MAX_CONCURRENT_CHECKS)
        self._target_since: dict[EngineTarget, float] = {}
        self._targets: tuple[EngineTarget, ...] = ()
        self._as_of = (NO_REVISION, NO_REVISION)

    async def run(self) -> None:
        """Check the engines in turn until cancelled."""
        async with anyio.create_task_group() as checks:
            while True:
                targets = self._targets_in_region()
                spacing_s = max(CHECK_INTERVAL_S / max(len(targets), 1), 1.0 / MAX_CHECKS_PER_S)
                for target in targets:
                    await self._check_limiter.acquire()
                    checks.start_soon(self._check, target)
                    await anyio.sleep(spacing_s)
                if not targets:
                    await anyio.sleep(CHECK_INTERVAL_S)

    def _targets_in_region(self) -> tuple[EngineTarget, ...]:
        """Return the engines in the zones where the region has nodes."""
        now = anyio.current_time()
        zones = {view.zone for view in self._lease_table.views(now)}
        return tuple(target for target in self.targets(now) if target.body.zone in zones)

    def targets(self, now: float) -> tuple[EngineTarget, ...]:
        """Return the targets of all accepted engine documents, computed once per revision."""
        ledger = self._configuration
        # Accepted documents may still arrive in parts, so check the held revision too.
        as_of = (ledger.held_revision, ledger.accepted_revision)
        if as_of != self._as_of:
            self._as_of = as_of
            self._refresh_targets(now)
        return self._targets

    def _refresh_targets(self, now: float) -> None:
        found = map(target_of, self._configuration.accepted_documents(DocumentKind.ENGINE))
        self._targets = tuple(target for target in found if target is not None)
        self._target_since = {
            target: self._target_since.get(target, now) for target in self._targets
        }

    async def _check(self, target: EngineTarget) -> None:
        try:
            await self._reconcile(target)
        except BackendError as error:
            # Retried at the next check.
            logger.info("engine_not_checked", engine=target.engine_id, code=error.code.value)
        finally:
            self._check_limiter.release()

    async def _reconcile(self, target: EngineTarget) -> None:
        """Compare one engine with its target and send the orders that it needs."""
        client = EngineClient(self._http_client, target.body.address)
        load = await client.read_load()
        now = anyio.current_time()
        target_age_s = now - self._target_since.get(target, now)
        for order in orders_for(target, load, target_age_s):
            await client.order(order)
            logger.info(
                "engine_ordered",
                engine=target.engine_id,
                order=order.kind.value,
                model=order.argument,
                token=order.fencing_token,
            )


def target_of(document: Document) -> EngineTarget | None:
    """Return the target of an engine document; ``None`` for any other document."""
    body = parse_recorded(document)
    if not isinstance(body, EngineBody):
        return None
    return EngineTarget(EngineId(document.name), body, Revision(document.revision))
