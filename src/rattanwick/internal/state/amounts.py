"""Amounts of an allowance, counted in tokens and in requests."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Amount:
    """A number of tokens and a number of requests, its two parts.

    Arithmetic applies to each part separately.
    """

    tokens: int = 0
    requests: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens + other.tokens, self.requests + other.requests)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens - other.tokens, self.requests - other.requests)

    def subtract_clamped(self, other: "Amount") -> "Amount":
        """Return the difference, where each part is at least zero."""
        return (self - other).maximum(ZERO)

    def maximum(self, other: "Amount") -> "Amount":
        """Return the larger of each part."""
        return Amount(
            max(self.tokens, other.tokens), max(self.requests, other.requests)
        )

    def minimum(self, other: "Amount") -> "Amount":
        """Return the smaller of each part."""
        return Amount(
            min(self.tokens, other.tokens), min(self.requests, other.requests)
        )

    def covers(self, other: "Amount") -> bool:
        """Return whether both parts are at least those of the other amount."""
        return self.tokens >= other.tokens and self.requests >= other.requests

    def divide_rounding_up(self, parts: int) -> "Amount":
        """Return each part divided by ``parts`` and rounded up."""
        return Amount(-(-self.tokens // parts), -(-self.requests // parts))

    def scaled_to_limit(self, old_limit: "Amount", new_limit: "Amount") -> "Amount":
        """Return this amount, each part scaled down if its limit was lowered."""
        return Amount(
            _scale(self.tokens, old_limit.tokens, new_limit.tokens),
            _scale(self.requests, old_limit.requests, new_limit.requests),
        )

    def masked_by(self, other: "Amount") -> "Amount":
        """Return this amount, but zero for each part that the other has none of."""
        return Amount(
            self.tokens if other.tokens > 0 else 0,
            self.requests if other.requests > 0 else 0,
        )


ZERO = Amount()


def _scale(value: int, old_limit: int, new_limit: int) -> int:
    return value * new_limit // old_limit if new_limit < old_limit else value
