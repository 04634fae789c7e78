"""Check of the types of decoded messages."""

from dataclasses import dataclass
from math import isfinite
from types import UnionType

MAX_EXACT_INTEGER = 1 << 53  # above, sums of floats lose their last digits


@dataclass(slots=True, frozen=True)
class Amount:
    """Shape of a number that is not negative."""

    kind: type  # int or float
    most: float = MAX_EXACT_INTEGER
    optional: bool = False  # whether None matches too


Shape = type | UnionType | Amount | dict | list | tuple


def matches(value, shape: Shape) -> bool:
    """Return whether a value has a shape.

    A shape is a type; a union of types, of which one must match; an Amount; a
    dictionary that maps the shape of the keys to that of the values; a list that holds
    the shape of the elements; or a tuple of shapes, for a list with exactly these
    elements. Numbers must be finite and below MAX_EXACT_INTEGER in size. An integer
    also matches float.
    """
    if isinstance(shape, Amount):
        if value is None:
            return shape.optional
        return matches(value, shape.kind) and 0 <= value <= shape.most
    if isinstance(shape, dict):
        ((key_shape, value_shape),) = shape.items()
        return isinstance(value, dict) and all(
            matches(key, key_shape) and matches(item, value_shape)
            for key, item in value.items()
        )
    if isinstance(shape, list):
        return isinstance(value, list) and all(
            matches(item, shape[0]) for item in value
        )
    if isinstance(shape, tuple):
        return (
            isinstance(value, list)
            and len(value) == len(shape)
            and all(map(matches, value, shape))
        )
    if isinstance(shape, UnionType):
        return any(matches(value, kind) for kind in shape.__args__)
    if shape in (int, float):
        if type(value) not in (int, shape):
            return False
        return isfinite(value) and abs(value) < MAX_EXACT_INTEGER
    return type(value) is shape
