"""Seeds that have failed once, each with its cause."""

REQUESTS_CUT_BY_STOP = (
    "requests that were read late in the grace period, or waited for an endpoint at its"
    " end, got no response from a node that stopped"
)

STOPPED_DURING_START = (
    "a node that got SIGTERM during its start was ended by the signal"
)
SAFE_READ_BLAMED = (
    "after two endpoints had restarted, an ordinary read was refused for a minute"
    " because it was blamed for crashing them"
)
ENDPOINTS_DOWN_BEFORE = (
    "a read was blamed for crashing two endpoints that were down before it was sent"
)
PAUSED_WHILE_CONNECTING = (
    "a node that was paused beyond a request's deadline while it connected to an"
    " endpoint closed the caller's connection without an answer"
)
RELEASED_WHILE_CONFIRMING = (
    "a leader that was stopped while a confirmation had no answer logged an exception"
)

REPORTED_AGAIN_AFTER_RESTORE = (
    "after the store had come back older, a new leader reported windows of usage again"
    " with other counts, or held the fence of the leader before"
)
ENDPOINT_BACK_AFTER_RESTORE = (
    "after the store had come back older, an endpoint that had left was used again"
)
RESTARTS_OVERLAPPED = (
    "of two overlapping restarts of the soak, one left an endpoint at a closed address"
)

REGRESSIONS: dict[int, str] = {
    2: ENDPOINT_BACK_AFTER_RESTORE,
    3: REPORTED_AGAIN_AFTER_RESTORE,
    4: STOPPED_DURING_START,
    6: REPORTED_AGAIN_AFTER_RESTORE,
    7: STOPPED_DURING_START,
    11: SAFE_READ_BLAMED,
    16: SAFE_READ_BLAMED,
    19: SAFE_READ_BLAMED,
    20: REQUESTS_CUT_BY_STOP,
    21: STOPPED_DURING_START,
    23: RELEASED_WHILE_CONFIRMING,
    124: ENDPOINTS_DOWN_BEFORE,
    250: PAUSED_WHILE_CONNECTING,
    703: RESTARTS_OVERLAPPED,
}

# Seeds of runs with planned work only.
PLANNED_REGRESSIONS: dict[int, str] = {
    1: REQUESTS_CUT_BY_STOP,
    2: REQUESTS_CUT_BY_STOP,
    3: REQUESTS_CUT_BY_STOP,
    4: REQUESTS_CUT_BY_STOP,
    6: REQUESTS_CUT_BY_STOP,
}
