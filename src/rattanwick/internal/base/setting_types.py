"""Value types of settings: parsers whose errors say what to write instead."""

import ipaddress
import os
import re
from collections.abc import Callable
from dataclasses import MISSING, field
from urllib.parse import urlsplit

IDENTIFIER_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
SHA256_HEX_PATTERN = re.compile(r"^[0-9a-f]{64}$")

Parser = Callable[[str], object]


class InvalidValue(ValueError):
    """What is wrong with a value (``message``) and what to write (``expected``)."""

    def __init__(self, message: str, expected: str):
        super().__init__(f"{message}; write {expected}")
        self.message = message
        self.expected = expected


def setting(parse: Parser, help: str, default: object = MISSING, unit: str = ""):
    """Declare a setting as a dataclass field.

    ``parse`` raises InvalidValue for invalid text. Without a default the setting
    is required. ``help`` and ``unit`` are printed on the operators' page.
    """
    metadata = {"parse": parse, "help": help, "unit": unit}
    if isinstance(default, (list, dict)):
        raise TypeError("a default must not be mutable")
    return field(default=default, metadata=metadata)


def identifier(text: str) -> str:
    """Return a lower-case name."""
    if not IDENTIFIER_PATTERN.match(text):
        raise InvalidValue(
            f"{text!r} is not a name",
            "lower-case letters, digits, '.', '_' and '-', at most 63 characters",
        )
    return text


def text(value: str) -> str:
    """Return the text as it is."""
    return value


def yes_no(value: str) -> bool:
    """Return True for "yes" and False for "no", in upper or lower case."""
    if value.lower() not in ("yes", "no"):
        raise InvalidValue(f"{value!r} is neither yes nor no", "yes or no")
    return value.lower() == "yes"


def ip_address(value: str) -> str:
    """Return an IP address in its usual form; host names are not resolved."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise InvalidValue(
            f"{value!r} is not an IP address", "an IP address such as 10.0.0.5"
        )


def port(value: str) -> int:
    """Return a TCP port."""
    return int(number(1, 65535, whole=True)(value))


def url(value: str) -> str:
    """Return an http or https URL without a slash at its end."""
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise InvalidValue(
            f"{value!r} is not a URL", "http://IP:PORT or https://IP:PORT"
        )
    return value.rstrip("/")


def readable_file(value: str) -> str:
    """Return the path of a file that this process can read."""
    if not os.access(value, os.R_OK) or os.path.isdir(value):
        raise InvalidValue(
            f"{value!r} cannot be read", "the path of a file that exists"
        )
    return value


def sha256_list(value: str) -> tuple[str, ...]:
    """Return hexadecimal SHA-256 digests that are separated by whitespace."""
    digests = tuple(value.split())
    for digest in digests:
        if not SHA256_HEX_PATTERN.match(digest):
            raise InvalidValue(
                "a digest is not 64 hexadecimal digits",
                "the output of 'printf %s KEY | sha256sum'",
            )
    return digests


def identifier_list(value: str) -> tuple[str, ...]:
    """Return lower-case names that are separated by whitespace."""
    return tuple(identifier(item) for item in value.split())


def number(low: float, high: float, whole: bool = False) -> Parser:
    """Return a parser of numbers from ``low`` to ``high``."""

    def parse(value: str) -> float | int:
        kind = "a whole number" if whole else "a number"
        expected = f"{kind} from {low:g} to {high:g}"
        try:
            parsed = int(value) if whole else float(value)
        except ValueError:
            raise InvalidValue(f"{value!r} is not {kind}", expected)
        if not low <= parsed <= high:
            raise InvalidValue(f"{value} is out of range", expected)
        return parsed

    return parse


def whole_number(low: int, high: int) -> Parser:
    """Return a parser of whole numbers from ``low`` to ``high``."""
    return number(low, high, whole=True)


def choice(*names: str) -> Parser:
    """Return a parser that accepts one of ``names``."""

    def parse(value: str) -> str:
        if value not in names:
            raise InvalidValue(f"{value!r} is not known", f"one of {', '.join(names)}")
        return value

    return parse
