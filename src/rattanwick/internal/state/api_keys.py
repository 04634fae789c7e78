"""Answer who a caller is and what a plan may use."""

import hashlib
import hmac
from dataclasses import dataclass

from rattanwick.internal.state.list_format import Allowance, Lists
from rattanwick.internal.state.lists import ListStore


@dataclass(slots=True, frozen=True)
class Caller:
    """Name the organisation of a caller and its plan."""

    organisation: str
    plan: str


def key_digest(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", errors="surrogatepass")).hexdigest()


class CallerDirectory:
    """Look up callers and allowances in the lists in force."""

    def __init__(self, lists: ListStore):
        self._lists = lists
        self._contents: Lists | None = None
        self._callers: dict[str, tuple[str, Caller]] = {}

    def caller_for_key(self, key: str) -> Caller | None:
        """Return the caller of a key, or None for an unknown key."""
        self._refresh()
        digest = key_digest(key)
        # The prefix lookup depends on the digest only, which a caller cannot steer
        # towards a known one; the rest is compared in constant time.
        known, caller = self._callers.get(digest[:16], ("", None))
        return caller if hmac.compare_digest(known, digest) else None

    def allowance(self, plan: str, pool: str) -> Allowance | None:
        """Return what a plan may use of a pool, or None for nothing."""
        return self._lists.current().contents.allowances.get((plan, pool))

    def _refresh(self) -> None:
        contents = self._lists.current().contents
        if contents is self._contents:
            return
        self._callers = {
            digest[:16]: (digest, Caller(organisation.name, organisation.plan))
            for organisation in contents.organisations.values()
            for digest in organisation.key_hashes
        }
        self._contents = contents


class OperatorKeys:
    """Check the keys of operators."""

    def __init__(self, key_hashes: tuple[str, ...]):
        self._key_hashes = key_hashes

    def accepts(self, key: str) -> bool:
        """Tell whether a key belongs to an operator."""
        digest = key_digest(key)
        matches = [hmac.compare_digest(digest, known) for known in self._key_hashes]
        return any(matches)
