"""API keys of callers and operators, and the allowances of plans."""

import hashlib
import hmac
from dataclasses import dataclass

from rattanwick.internal.state.list_format import Allowance, Lists
from rattanwick.internal.state.lists import ListStore


@dataclass(slots=True, frozen=True)
class Caller:
    """The organisation of a caller, and its plan."""

    organisation: str
    plan: str


def key_digest(key: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", errors="surrogatepass")).hexdigest()


class CallerDirectory:
    """Finds callers and allowances in the lists that are in force."""

    def __init__(self, lists: ListStore):
        self._lists = lists
        self._contents: Lists | None = None
        self._callers: dict[str, tuple[str, Caller]] = {}

    def caller_for_key(self, key: str) -> Caller | None:
        """Return the caller that has a key, or None if no caller has it."""
        self._refresh()
        digest = key_digest(key)
        # The lookup by prefix depends only on the digest, and a caller cannot choose a
        # key with a digest close to a stored one. The comparison takes constant time.
        stored_digest, caller = self._callers.get(digest[:16], ("", None))
        return caller if hmac.compare_digest(stored_digest, digest) else None

    def allowance(self, plan: str, pool: str) -> Allowance | None:
        """Return the allowance of a plan in a pool, or None if it has none."""
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
    """The keys of operators, kept as SHA-256 digests."""

    def __init__(self, key_hashes: tuple[str, ...]):
        self._key_hashes = key_hashes

    def accepts(self, key: str) -> bool:
        """Return whether an operator has this key."""
        digest = key_digest(key)
        matches = [
            hmac.compare_digest(digest, stored_digest)
            for stored_digest in self._key_hashes
        ]
        return any(matches)
