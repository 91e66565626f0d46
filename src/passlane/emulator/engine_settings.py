"""Settings of the engine model: sizes, speeds, delays and faults."""

import msgspec


class EngineModelSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an emulated engine can do and how fast; each default is a small agent engine.

    Attributes
    ----------
    models
        Models that are loaded when the engine starts.
    max_batch
        Most requests that run at once.
    max_waiting
        Most requests that wait; more are refused with status 503.
    cache_tokens
        Memory for running requests and kept prefixes together, in tokens.
    max_step_tokens
        Most tokens computed in one step; a longer prefill is cut into chunks.
    step_base_s, step_sequence_s, step_prefill_token_s
        One step takes ``base + sequence * decoding requests + prefill * prompt tokens``.
    answer_tokens_min, answer_tokens_max
        Bounds of an answer's length, before ``max_tokens`` of the request cuts it.
    event_delay_min_s, event_delay_max_s
        A cache event is published this long after it happened.
    event_loss_probability
        Share of the cache events that are never published.
    event_history
        Cache events kept for readers; older ones are gone.
    load_lag_s, load_interval_s
        Load reports tell the state at least ``load_lag_s`` ago, sampled each interval.
    transfer_tokens_per_s
        Speed at which a program's cache is imported from another engine.
    export_pin_s
        Seconds for which an exported cache entry is kept from eviction.
    weights_bytes
        Size of one model's weights.
    weights_bytes_per_s
        Speed of the weights store, shared by all who load at the same time.
    unload_s, change_role_s
        Time that these orders take.
    stall_probability, stall_s
        Share of the steps that take ``stall_s`` longer.
    failure_probability
        Share of the requests whose stream breaks off in the middle.
    ends_with_connection
        Whether streams have neither a length nor chunks and end with their connection.
    breaks_inside_event
        Whether a stream that breaks off ends inside an event.
    software_version
        Version of its software, which it tells with each token. Answers differ between versions.
        Empty: it tells none, and continues any answer.
    checks_version
        Whether it refuses to continue the answer of another version.
    ends_under
        Text in the last message of a request under which the engine ends: after the first token it
        crashes and starts again. Empty for none.
    ends_after_s
        Time after which it does so; it breaks the request's stream off before.
    endless_probability
        Share of the requests that are answered with a line without an end.
    """

    software_version: str = ""
    checks_version: bool = True
    ends_under: str = ""
    ends_after_s: float = 0.0
    models: tuple[str, ...] = ("agent",)
    max_batch: int = 16
    max_waiting: int = 256
    cache_tokens: int = 100_000
    max_step_tokens: int = 512
    step_base_s: float = 0.003
    step_sequence_s: float = 0.000_05
    step_prefill_token_s: float = 0.000_02
    answer_tokens_min: int = 16
    answer_tokens_max: int = 96
    event_delay_min_s: float = 0.05
    event_delay_max_s: float = 0.5
    event_loss_probability: float = 0.01
    event_history: int = 2_000
    load_lag_s: float = 0.25
    load_interval_s: float = 0.1
    transfer_tokens_per_s: float = 200_000.0
    export_pin_s: float = 10.0
    weights_bytes: int = 2_000_000_000
    weights_bytes_per_s: float = 1_000_000_000.0
    unload_s: float = 0.2
    change_role_s: float = 0.5
    stall_probability: float = 0.0
    stall_s: float = 0.5
    failure_probability: float = 0.0
    ends_with_connection: bool = False
    breaks_inside_event: bool = False
    endless_probability: float = 0.0
