"""Versions of the plan list and the allowance list, as rows and as messages."""

import hashlib
from dataclasses import dataclass, field

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.state.list_format import Lists, parse_lists

CURRENT_KEY = "lists#current"
VERSION_PREFIX = "lists#v#"
# Larger texts go to the object store. A row of the table holds at most 400 KB; the
# rest is left for the other fields and for characters of several bytes.
MAX_ROW_BYTES = 250_000


@dataclass(slots=True, frozen=True)
class ListsVersion:
    """One version of both lists; version 0 is empty."""

    number: int
    plans_text: str
    allowances_text: str
    author: str
    time: float  # Unix seconds
    from_version: int  # version that this one was edited from
    contents: Lists = field(repr=False, compare=False)

    @property
    def digest(self) -> str:
        """SHA-256 of the number and both texts, in hexadecimal."""
        return version_digest(self.number, self.plans_text, self.allowances_text)

    def to_message(self) -> dict:
        """Return the version as a map for msgpack or JSON."""
        return {
            "version": self.number,
            "plans": self.plans_text,
            "allowances": self.allowances_text,
            "author": self.author,
            "time": self.time,
            "from_version": self.from_version,
            "digest": self.digest,
        }


EMPTY_VERSION = ListsVersion(0, "", "", "", 0.0, 0, Lists())


def version_digest(number: int, plans_text: str, allowances_text: str) -> str:
    """Return the SHA-256 of a version's number and both texts, in hexadecimal."""
    content = f"{number}\x00{plans_text}\x00{allowances_text}"
    return hashlib.sha256(content.encode()).hexdigest()


def version_key(number: int) -> str:
    """Return the row key of a version."""
    return f"{VERSION_PREFIX}{number:08d}"


def version_from_message(message: dict, source: str) -> ListsVersion:
    """Decode a version; ``source`` names the peer or the table in errors.

    Raises ProtocolError if a field is missing or invalid, or if the digest does not
    match, and SettingsError for problems in the texts.
    """
    try:
        version = ListsVersion(
            number=int(message["version"]),
            plans_text=str(message["plans"]),
            allowances_text=str(message["allowances"]),
            author=str(message.get("author", "")),
            time=float(message.get("time", 0.0)),
            from_version=int(message.get("from_version", 0)),
            contents=parse_lists(str(message["plans"]), str(message["allowances"])),
        )
        expected = message["digest"]
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError("read lists", source, f"field missing or invalid: {exc}")
    if version.digest != expected:
        raise ProtocolError("read lists", source, "digest does not match the texts")
    return version
