"""Names in the platform's protocol: headers, paths and the settings variable."""

ATTEMPT_ID = "x-passlane-attempt-id"
DEADLINE_MS = "x-passlane-deadline-ms"
TARGET_INSTANCE = "x-passlane-target-instance"
INSTANCE_ID = "x-passlane-instance-id"
SIGNATURE = "x-passlane-response-signature"
NOT_EXECUTED = "x-passlane-not-executed"
REQUEST_PRIORITY = "x-passlane-request-priority"
TOKEN_USAGE = "x-passlane-token-usage"
TOKEN_BUDGET = "x-passlane-token-budget"
PROMPT_PREFIX = "x-passlane-prompt-prefix"
MODEL = "x-passlane-model"
AFFINITY_KEY = "x-passlane-affinity-key"
PROGRAM_ID = "x-passlane-program-id"
SESSION_ID = "x-passlane-session-id"
PROGRAM_DEADLINE_MS = "x-passlane-program-deadline-ms"
PREVIOUS_TURN = "x-passlane-previous-turn"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
"""The attempt that brought the first event of the stream that a request resumes."""

TENANT = "x-passlane-tenant"
API_KEY = "x-api-key"
EXPECTED_VERSION = "x-passlane-expect-version"
"""Version of the model's weights."""
HOLD = "x-passlane-hold"
PIN_MS = "x-passlane-pin-ms"
KV_BACKUP = "x-passlane-kv-backup"
KV_FROM = "kv-from"
KV_FETCH = "kv-fetch"

READINESS_PATH = "/api/readyz"
PUT_CONFIGURATION_PATH = "/api/config/put"
GET_CONFIGURATION_PATH = "/api/config/get"
RETIRE_PATH_PATTERN = r"/api/retire/(?P<name>[^/]+)/(?P<verb>start|get)"
INSTANCES_PATH = "/instances"

SETTINGS_VARIABLE = "PASSLANE_BOOT"

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
"""Headers of a single connection, or that each HTTP implementation sets itself; not forwarded."""

RESERVED_HEADERS = frozenset(
    {
        TENANT,
        TARGET_INSTANCE,
        REQUEST_PRIORITY,
        EXPECTED_VERSION,
        HOLD,
        PIN_MS,
        KV_BACKUP,
        KV_FROM,
        KV_FETCH,
    }
)
"""Headers that only passlane may set: engines act on them, so those of clients are dropped."""

CONTENT_HEADERS = frozenset({MODEL, AFFINITY_KEY, "authorization", "cookie", "content-type"})
"""Headers that are part of a request's content: they are the same in all its attempts."""

CREDENTIAL_HEADERS = frozenset({API_KEY})
"""Headers with credentials for passlane, which are not forwarded to backends."""
