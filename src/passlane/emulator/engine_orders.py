"""Fenced orders to the engine model: models, role and transfers of cache."""

from dataclasses import dataclass

from passlane.emulator.engine_settings import EngineModelSettings
from passlane.emulator.fencing import FencingTokens
from passlane.emulator.prefix_cache import PrefixCache
from passlane.emulator.weights_store import WeightsStore
from passlane.identifiers import ProgramId
from passlane.messages.backends import EngineOrder, OrderKind, OrderReply


@dataclass(frozen=True, slots=True)
class OrderInProgress:
    """An order that takes time, and when it will be done."""

    order: EngineOrder
    done_at: float
    imported_tokens: int = 0


class EngineOrders:
    """Admits orders by their fencing tokens and carries them out in time.

    An order is idempotent: sent again with the same token it tells how far it has come.
    """

    def __init__(
        self,
        settings: EngineModelSettings,
        incarnation: int,
        cache: PrefixCache,
        tokens: FencingTokens,
        weights: WeightsStore,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._cache = cache
        self._tokens = tokens
        self._weights = weights
        self._in_progress: list[OrderInProgress] = []
        self._done: set[tuple[OrderKind, str, int, str]] = set()
        self.models = set(settings.models)
        self.role = "general"

    def next_event_time(self) -> float | None:
        """Return when the next order will be done; ``None`` if none is under way."""
        return min((entry.done_at for entry in self._in_progress), default=None)

    def handle(self, order: EngineOrder, now: float, available_tokens: int = 0) -> OrderReply:
        """Carry out an order or go on with it.

        Parameters
        ----------
        order
            The order with its token.
        now
            Time in seconds.
        available_tokens
            For an import: tokens that the other engine holds for the program.
        """
        if not self._tokens.admit(order.scope, order.fencing_token):
            return self._reply(order, done=False, message="stale fencing token")
        key = self._key(order)
        if key in self._done:
            return self._reply(order, done=True)
        if any(self._key(entry.order) == key for entry in self._in_progress):
            return self._reply(order, done=False, message="in progress")
        duration = self._duration(order, now, available_tokens)
        if duration <= 0.0:
            self._complete(OrderInProgress(order, now, available_tokens), now)
            return self._reply(order, done=True)
        self._in_progress.append(OrderInProgress(order, now + duration, available_tokens))
        return self._reply(order, done=False, message="in progress")

    def is_stale(self, order: EngineOrder) -> bool:
        """Return whether a newer token than the order's was seen for its scope."""
        return order.fencing_token < self._tokens.highest(order.scope)

    def advance(self, now: float) -> None:
        """Complete the orders whose time has come."""
        due = [entry for entry in self._in_progress if entry.done_at <= now]
        self._in_progress = [entry for entry in self._in_progress if entry.done_at > now]
        for entry in sorted(due, key=lambda entry: entry.done_at):
            self._complete(entry, entry.done_at)

    def _duration(self, order: EngineOrder, now: float, available_tokens: int) -> float:
        """Return how long an order takes from ``now``, in seconds."""
        match order.kind:
            case OrderKind.LOAD_MODEL:
                if order.argument in self.models:
                    return 0.0
                return self._weights.begin_download(self._settings.weights_bytes, now) - now
            case OrderKind.UNLOAD_MODEL:
                return self._settings.unload_s
            case OrderKind.CHANGE_ROLE:
                return self._settings.change_role_s
            case OrderKind.IMPORT_CACHE:
                return available_tokens / self._settings.transfer_tokens_per_s
            case OrderKind.EXPORT_CACHE | OrderKind.RELEASE_PROGRAM:
                return 0.0

    def _complete(self, entry: OrderInProgress, now: float) -> None:
        """Let an order take effect, unless a newer one for its scope came meanwhile."""
        order = entry.order
        if self.is_stale(order):
            return
        program_id = order.program_id or ProgramId("")
        match order.kind:
            case OrderKind.LOAD_MODEL:
                self.models.add(order.argument)
            case OrderKind.UNLOAD_MODEL:
                self.models.discard(order.argument)
            case OrderKind.CHANGE_ROLE:
                self.role = order.argument
            case OrderKind.IMPORT_CACHE:
                self._cache.store(program_id, entry.imported_tokens, now)
            case OrderKind.EXPORT_CACHE:
                self._cache.pin(program_id, now + self._settings.export_pin_s)
            case OrderKind.RELEASE_PROGRAM:
                self._cache.release(program_id, now)
                return  # A program may be held again under the same token.
        self._done.add(self._key(order))

    def _reply(self, order: EngineOrder, *, done: bool, message: str = "") -> OrderReply:
        """Return the answer to an order."""
        return OrderReply(
            done=done,
            incarnation=self._incarnation,
            highest_token=self._tokens.highest(order.scope),
            message=message,
        )

    @staticmethod
    def _key(order: EngineOrder) -> tuple[OrderKind, str, int, str]:
        """Return what makes two orders the same."""
        return (order.kind, order.scope, order.fencing_token, order.argument)
