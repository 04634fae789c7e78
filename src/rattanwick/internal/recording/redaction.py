"""Removal of secrets and of callers' text from inputs before they are recorded."""

from functools import lru_cache

SECRET_KEYS = frozenset(
    {
        "access_key",
        "api_key",
        "apikey",
        "authorization",
        "cookie",
        "credentials",
        "key",
        "key_hash",
        "key_hashes",
        "password",
        "proof",
        "secret",
        "secret_key",
        "set_cookie",
        "signature",
        "x_api_key",
    }
)
CALLER_TEXT_KEYS = frozenset({"body", "messages", "prompt", "text"})
REDACTED = "[removed]"
SECRET_PREFIXES = ("Bearer ", "Basic ", "AWS4-HMAC-")


def redact(value: object) -> tuple[object, bool]:
    """Return (value without secrets and callers' text, whether any was redacted)."""
    if isinstance(value, dict):
        return _redact_map(value)
    if isinstance(value, (list, tuple)):
        return _redact_list(value)
    if isinstance(value, str) and value.startswith(SECRET_PREFIXES):
        return REDACTED, True
    return value, False


def _redact_map(value: dict) -> tuple[dict, bool]:
    result = {}
    redacted = False
    for key, item in value.items():
        if isinstance(key, str) and _must_redact(key):
            result[key] = REDACTED
            redacted = True
            continue
        # Most inputs are numbers, which hold no secret; skipping them saves a call.
        if type(item) in (int, float, bool):
            result[key] = item
            continue
        result[key], item_redacted = redact(item)
        redacted = redacted or item_redacted
    return result, redacted


def _redact_list(value: list | tuple) -> tuple[list, bool]:
    items = [redact(item) for item in value]
    return [item for item, _ in items], any(item_redacted for _, item_redacted in items)


@lru_cache(maxsize=4096)
def _must_redact(key: str) -> bool:
    word = key.lower().replace("-", "_")
    return word in SECRET_KEYS or word in CALLER_TEXT_KEYS
