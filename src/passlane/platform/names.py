"""The platform's names: headers, paths, words."""

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
PROGRAM_ID = "x-passlane-program-id"
SESSION_ID = "x-passlane-session-id"
PROGRAM_DEADLINE_MS = "x-passlane-program-deadline-ms"
PREVIOUS_TURN = "x-passlane-previous-turn"
LAST_EVENT_ID = "last-event-id"

TENANT = "x-passlane-tenant"
API_KEY = "x-api-key"
EXPECTED_WEIGHTS = "x-passlane-expect-version"
HOLD = "x-passlane-hold"
PIN_MS = "x-passlane-pin-ms"
MEMORY_BACKUP = "x-passlane-kv-backup"
MEMORY_COPY = "kv-from"
MEMORY_SOURCE = "kv-fetch"

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
"""Headers that concern one connection, or that each side writes itself."""

OWNED_HEADERS = frozenset(
    {
        TENANT,
        TARGET_INSTANCE,
        REQUEST_PRIORITY,
        EXPECTED_WEIGHTS,
        HOLD,
        PIN_MS,
        MEMORY_BACKUP,
        MEMORY_COPY,
        MEMORY_SOURCE,
    }
)
"""Headers that only this system sets: engines obey them, so a client's own are dropped."""

UNTOLD_HEADERS = frozenset({API_KEY})
"""Headers that are for this system alone and reach no back end."""
