"""Checks that a decoded message has the expected shape."""

from math import isfinite
from types import UnionType

Shape = type | UnionType | dict | list | tuple

MOST_WHOLE = 1 << 53  # whole numbers of messages; above, sums lose their last digits


def matches(value, shape: Shape) -> bool:
    """Tell whether a value has a shape.

    A shape is a type; a union of types, of which one must match; a dictionary of one
    key's shape to one value's shape; a list of one element's shape; or a tuple of
    shapes, for a list of just so many elements. Numbers must be finite and within
    bounds; a whole number is a float, too.
    """
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
        return isfinite(value) and abs(value) < MOST_WHOLE
    return type(value) is shape
