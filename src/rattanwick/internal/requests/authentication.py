"""Authentication of callers by the key of their plan."""

import falcon

from rattanwick.internal.requests.caller_errors import CallerError
from rattanwick.internal.requests.interfaces import Caller, PlanDirectory

SCHEME = "bearer"
MAX_KEY_CHARS = 512


def authenticate(req: falcon.Request, directory: PlanDirectory) -> Caller:
    """Return the caller whose key the request carries; the key is never logged.

    Raises CallerError if the key is absent or unknown.
    """
    scheme, _, key = (req.auth or "").partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        raise _unauthorised("send the key of your plan as 'Bearer KEY'")
    if len(key) > MAX_KEY_CHARS:
        raise _unauthorised(f"a key has at most {MAX_KEY_CHARS} characters")
    caller = directory.caller_for_key(key)
    if caller is None:
        raise _unauthorised("the key is not known")
    return caller


def _unauthorised(message: str) -> CallerError:
    return CallerError(
        401,
        "unauthorised",
        f"Authorization: {message}",
        "Authorization",
        headers={"WWW-Authenticate": "Bearer"},
    )
