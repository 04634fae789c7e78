"""Client of the table, over the DynamoDB protocol."""

import json
from collections.abc import Sequence

from rattanwick.internal.base.errors import MaybeApplied, Unavailable
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.interfaces import Precondition, Row, Table, Write
from rattanwick.internal.platform.signed_client import ServiceClient, shorten_token
from rattanwick.internal.platform.table_items import (
    ItemConflict,
    condition_parameters,
    from_item,
    item_key,
    parse_response,
    split_key,
    to_item,
    transact_entry,
)

SERVICE = "dynamodb"
TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
MAX_TOKEN_LENGTH = 36  # characters of a client request token


class DynamoTable(Table):
    """Rows of one DynamoDB table."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.table_url, cfg, timers, node_id)
        self._name = cfg.table_name

    def get(self, key: str, consistent: bool = True) -> Row | None:
        """Return a row, or None; raise Unavailable if it cannot be read."""
        request = {"Key": item_key(key), "ConsistentRead": consistent}
        response = self._call("GetItem", request, read=True)
        return self._row("GetItem", response["Item"]) if "Item" in response else None

    def query(self, prefix: str, limit: int = 1000) -> list[Row]:
        """Return rows by key prefix, which contains at least ``kind#``."""
        kind, name = split_key(prefix)
        request = {
            "KeyConditionExpression": "#kind = :kind",
            "ExpressionAttributeNames": {"#kind": "kind"},
            "ExpressionAttributeValues": {":kind": {"S": kind}},
            "ConsistentRead": True,
        }
        if name:
            request["KeyConditionExpression"] += " AND begins_with(#name, :name)"
            request["ExpressionAttributeNames"]["#name"] = "name"
            request["ExpressionAttributeValues"][":name"] = {"S": name}
        rows: list[Row] = []
        while len(rows) < limit:
            request["Limit"] = limit - len(rows)
            response = self._call("Query", request, read=True)
            rows.extend(self._row("Query", item) for item in response["Items"])
            if "LastEvaluatedKey" not in response:
                break
            request["ExclusiveStartKey"] = response["LastEvaluatedKey"]
        return rows

    def put(self, key: str, values: dict, expected: Precondition, token: str) -> Row:
        """Write one row and return it with its new version.

        A conditional put is repeated after a lost response. Its condition allows only
        one attempt to apply; the token in the row shows whether one has.
        """
        if expected.row_version is None:
            return self._put_any(key, values, token)
        version = expected.row_version + 1
        item = to_item(key, values, version, token)
        request = {"Item": item, **condition_parameters(expected)}
        written = Row(key, values, version)
        try:
            self._call("PutItem", request)
        except ItemConflict as exc:
            if exc.token == token:
                return written
            if exc.maybe_applied and exc.current and exc.current.row_version > version:
                # The write may have been applied and the row then written again.
                raise MaybeApplied(
                    "PutItem",
                    self._client.peer,
                    "the row has been written again by now",
                )
            raise
        return written

    def transact(self, writes: Sequence[Write], token: str) -> None:
        """Write all rows or none; retries have the same client request token."""
        entries = [transact_entry(self._name, write, token) for write in writes]
        request = {
            "TransactItems": entries,
            "ClientRequestToken": shorten_token(token, MAX_TOKEN_LENGTH),
        }
        self._call("TransactWriteItems", request, with_name=False)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _put_any(self, key: str, values: dict, token: str) -> Row:
        # A plain put cannot increase the version, and only a transaction has a token
        # that makes it safe to repeat a write without a condition.
        self.transact([Write(key, values, Precondition.any())], token)
        row = self.get(key)
        if row is None:
            raise MaybeApplied(
                "put", self._client.peer, "the row has been deleted by now"
            )
        return row

    def _row(self, step: str, item: dict) -> Row:
        try:
            return from_item(item)
        except ValueError as exc:
            raise Unavailable(step, self._client.peer, str(exc))

    def _call(
        self, step: str, request: dict, read: bool = False, with_name: bool = True
    ) -> dict:
        if with_name:
            request = {"TableName": self._name, **request}
        body = json.dumps(request, separators=(",", ":")).encode()
        headers = {"X-Amz-Target": TARGET_PREFIX + step, "Content-Type": CONTENT_TYPE}
        peer = self._client.peer
        maybe_applied = False

        def attempt(timeout: float) -> dict:
            nonlocal maybe_applied
            try:
                response = self._client.call(step, "POST", "/", headers, body, timeout)
                return parse_response(step, peer, response)
            except MaybeApplied:
                maybe_applied = True
                raise
            except ItemConflict as exc:
                exc.maybe_applied = maybe_applied
                raise

        return self._client.retry(step, attempt, read)
