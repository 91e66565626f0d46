"""The store of model weights: one line, limited in bytes a second."""


class WeightsStore:
    """Serves downloads one after the other at a stated speed.

    Parameters
    ----------
    bytes_per_s
        Speed shared by all engines that load from this store.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def begin_download(self, size_bytes: int, now: float) -> float:
        """Queue a download and return the time at which it will be complete."""
        start = max(now, self._free_at)
        self._free_at = start + size_bytes / self._bytes_per_s
        return self._free_at
