"""Codec between rows and DynamoDB items, and from DynamoDB errors to StepErrors.

An item has the string keys ``kind`` and ``name``, the number ``row_version``,
the string ``write_token`` of its last write and the binary ``data``: the values
in msgpack, which distinguishes integers, floats and byte strings. If the values have
the key ``expires_at`` (Unix seconds), the item has a number attribute of the same
name, which the table's time-to-live rule uses.
"""

import base64
import json

import msgpack

from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.platform.http import HttpResponse
from rattanwick.internal.platform.interfaces import Precondition, Row, Write
from rattanwick.internal.platform.signed_client import Rejected

KEY_SEPARATOR = "#"
TIME_TO_LIVE = "expires_at"

# Errors after which the protocol states that the write was not applied.
NOT_APPLIED_ERRORS = frozenset(
    {
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ServiceUnavailable",
        "ThrottlingException",
        "TransactionConflictException",
    }
)
MAYBE_APPLIED_ERRORS = frozenset(
    {"InternalServerError", "TransactionInProgressException"}
)
RETRYABLE_CANCELLATION_CODES = frozenset(
    {"TransactionConflict", "ThrottlingError", "ProvisionedThroughputExceeded"}
)


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and name in a row key; raise ValueError if it is invalid."""
    kind, separator, name = key.partition(KEY_SEPARATOR)
    if not kind or not separator:
        raise ValueError(f"{key!r} is not a row key, expected kind#name")
    return kind, name


def item_key(key: str) -> dict:
    """Return the key attributes of a row."""
    kind, name = split_key(key)
    return {"kind": {"S": kind}, "name": {"S": name}}


def to_item(key: str, values: dict, row_version: int, token: str) -> dict:
    """Encode a row as an item."""
    item = item_key(key)
    item["row_version"] = {"N": str(row_version)}
    item.update(_contents(values, token))
    return item


def from_item(item: dict) -> Row:
    """Decode the row in an item; raise ValueError if the item is not a row."""
    try:
        key = item["kind"]["S"] + KEY_SEPARATOR + item["name"]["S"]
        data = base64.b64decode(item["data"]["B"])
        values = msgpack.unpackb(data, strict_map_key=False)
        return Row(key, dict(values), int(item["row_version"]["N"]))
    except (KeyError, TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"item {item.get('name')} is not a row: {exc!r}")


def last_write_token(item: dict | None) -> str:
    """Return the token of the last write of an item, or an empty string."""
    return item.get("write_token", {}).get("S", "") if item else ""


def _contents(values: dict, token: str) -> dict:
    data = base64.b64encode(msgpack.packb(values)).decode("ascii")
    contents = {"data": {"B": data}, "write_token": {"S": token}}
    if TIME_TO_LIVE in values:
        contents[TIME_TO_LIVE] = {"N": str(int(values[TIME_TO_LIVE]))}
    return contents


def condition_parameters(expected: Precondition) -> dict:
    """Return the parameters of a request that state a precondition."""
    if expected.row_version is None:
        return {}
    shared = {"ReturnValuesOnConditionCheckFailure": "ALL_OLD"}
    if expected.row_version == 0:
        return {
            "ConditionExpression": "attribute_not_exists(#kind)",
            "ExpressionAttributeNames": {"#kind": "kind"},
            **shared,
        }
    return {
        "ConditionExpression": "row_version = :expected",
        "ExpressionAttributeValues": {":expected": {"N": str(expected.row_version)}},
        **shared,
    }


def transact_entry(table: str, write: Write, token: str) -> dict:
    """Return the entry of TransactItems for a write."""
    version = write.expected.row_version
    if write.values is None:
        request = {"Key": item_key(write.key), **condition_parameters(write.expected)}
        return {"Delete": {"TableName": table, **request}}
    if version is None:
        return {"Update": {"TableName": table, **_update(write, token)}}
    item = to_item(write.key, write.values, version + 1, token)
    return {
        "Put": {
            "TableName": table,
            "Item": item,
            **condition_parameters(write.expected),
        }
    }


def _update(write: Write, token: str) -> dict:
    """Return an update that increases the version, whatever it is."""
    contents = _contents(write.values, token)
    sets = ", ".join(f"#{name} = :{name}" for name in contents)
    values = {f":{name}": value for name, value in contents.items()}
    return {
        "Key": item_key(write.key),
        "UpdateExpression": f"SET {sets} ADD row_version :one",
        "ExpressionAttributeNames": {f"#{name}": name for name in contents},
        "ExpressionAttributeValues": {**values, ":one": {"N": "1"}},
    }


class ItemConflict(Conflict):
    """Raised if a precondition does not hold; ``token`` is that of the item's write."""

    def __init__(self, step: str, peer: str, reason: str, item: dict | None):
        try:
            current = from_item(item) if item else None
        except ValueError as exc:
            raise Rejected(step, peer, str(exc))
        super().__init__(step, peer, reason, current)
        self.token = last_write_token(item)
        self.maybe_applied = False  # an earlier attempt may have been applied


def parse_response(step: str, peer: str, response: HttpResponse) -> dict:
    """Return the body of a response with status 200; raise a StepError otherwise."""
    try:
        body = json.loads(response.body)
    except ValueError:
        raise MaybeApplied(step, peer, f"status {response.status}, not JSON")
    if not isinstance(body, dict):
        raise MaybeApplied(step, peer, f"status {response.status}, not a JSON map")
    if response.status == 200:
        return body
    kind = str(body.get("__type", "")).rpartition(KEY_SEPARATOR)[2]
    reason = f"status {response.status}, {kind}: {body.get('message', '')}"
    if kind == "ConditionalCheckFailedException":
        raise ItemConflict(step, peer, "condition failed", body.get("Item"))
    if kind == "TransactionCanceledException":
        _raise_cancelled(step, peer, body.get("CancellationReasons", []))
    if kind in NOT_APPLIED_ERRORS:
        raise Unavailable(step, peer, reason)
    if kind in MAYBE_APPLIED_ERRORS or response.status >= 500:
        raise MaybeApplied(step, peer, reason)
    raise Rejected(step, peer, reason)


def _raise_cancelled(step: str, peer: str, reasons: list[dict]) -> None:
    codes = [reason.get("Code") for reason in reasons]
    for reason in reasons:
        if reason.get("Code") == "ConditionalCheckFailed":
            raise ItemConflict(step, peer, "condition failed", reason.get("Item"))
    text = f"transaction cancelled: {', '.join(map(str, codes))}"
    if RETRYABLE_CANCELLATION_CODES.intersection(codes):
        raise Unavailable(step, peer, text)
    raise Rejected(step, peer, text)
