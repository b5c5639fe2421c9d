"""Define constants that several components share."""

from typing import Final

CONFIG_STREAM: Final = "config"
LEDGER_STREAM_PREFIX: Final = "ledger-"
BUDGET_ACCOUNT_PREFIX: Final = "budget:"
SITE_ACCOUNT_PREFIX: Final = "site:"

FOLD_VERSION: Final = 1
RECORD_VERSION: Final = 1

# Offset in the reply to an append if the log returned none.
NO_OFFSET: Final = -1

# With more peers than this, a host sends heartbeats only to some of them.
MAX_FULL_MESH_PEERS: Final = 8

MAX_RECORD_BYTES: Final = 1_000_000
MAX_PEER_MESSAGE_BYTES: Final = 4_000_000
MAX_REQUEST_BODY_BYTES: Final = 1_000_000

HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_REPLAYED: Final = "Idempotent-Replayed"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_WORKSPACE: Final = "X-Workspace"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_INCARNATION: Final = "X-Incarnation"
HEADER_FENCING: Final = "X-Fencing"
HEADER_REVISION: Final = "X-Revision"
HEADER_DEADLINE_MS: Final = "X-Deadline-Ms"
HEADER_RETRY_AFTER: Final = "Retry-After"
