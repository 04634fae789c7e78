"""Checked fields of the JSON objects that other writers put into rows.

All functions raise ValueError with a short message that names the field.
"""

import json
import reprlib

MAX_TEXT_BYTES = 200  # in UTF-8, as of the store's keys
REQUIRED = object()  # as a default: the field must be present


def parse_object(value: bytes) -> dict:
    """Return the JSON object that a row holds."""
    try:
        raw = json.loads(value.decode(), parse_constant=_refuse_constant)
    except RecursionError:
        raise ValueError("nested too deeply")
    return check_object(raw, "value")


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")


def check_object(value, field: str) -> dict:
    """Return a value if it is an object."""
    if type(value) is not dict:
        raise _wrong(field, value, "an object")
    return value


def check_text(value, field: str, max_bytes: int = MAX_TEXT_BYTES) -> str:
    """Return a value if it is a text that is not empty and can be encoded."""
    if type(value) is not str or not value:
        raise _wrong(field, value, "a text")
    try:
        size = len(value.encode())
    except UnicodeEncodeError:
        raise _wrong(field, value, "Unicode text")
    if size > max_bytes:
        raise ValueError(f"{field}: {size} bytes, at most {max_bytes} are allowed")
    return value


def check_number(value, field: str, low: float, high: float) -> float:
    """Return a value if it is a number within bounds."""
    # Integers of any size compare with floats without an overflow.
    if type(value) not in (int, float) or not low <= value <= high:
        raise _wrong(field, value, f"a number from {low:g} to {high:g}")
    return value


def check_integer(value, field: str, low: int, high: int) -> int:
    """Return a value if it is an integer within bounds."""
    if type(value) is not int or not low <= value <= high:
        raise _wrong(field, value, f"an integer from {low} to {high}")
    return value


def check_flag(value, field: str) -> bool:
    """Return a value if it is true or false."""
    if type(value) is not bool:
        raise _wrong(field, value, "true or false")
    return value


def field_of(raw: dict, field: str, default=REQUIRED):
    """Return a field, or the default if it is missing or null."""
    value = raw.get(field)
    if value is not None:
        return value
    if default is REQUIRED:
        raise ValueError(f"{field}: is missing")
    return default


def text_of(raw: dict, field: str, max_bytes: int = MAX_TEXT_BYTES) -> str:
    """Return a required text."""
    return check_text(field_of(raw, field), field, max_bytes)


def number_of(
    raw: dict, field: str, low: float, high: float, default=REQUIRED
) -> float:
    """Return a number within bounds."""
    return check_number(field_of(raw, field, default), field, low, high)


def count_of(raw: dict, field: str, low: int, high: int, default=REQUIRED) -> int:
    """Return a number within bounds as a whole number."""
    return int(number_of(raw, field, low, high, default))


def flag_of(raw: dict, field: str) -> bool:
    """Return a flag, false if it is missing."""
    return check_flag(field_of(raw, field, False), field)


def list_of(raw: dict, field: str, default=REQUIRED) -> list:
    """Return a list."""
    value = field_of(raw, field, default)
    if type(value) is not list:
        raise _wrong(field, value, "a list")
    return value


def objects_of(raw: dict, field: str, default=REQUIRED) -> list[dict]:
    """Return a list of objects."""
    return [check_object(item, field) for item in list_of(raw, field, default)]


def _wrong(field: str, value, expected: str) -> ValueError:
    # The value may be large or deeply nested.
    return ValueError(f"{field}: {reprlib.repr(value)} is not {expected}")
