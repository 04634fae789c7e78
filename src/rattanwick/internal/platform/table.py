"""Client of the transactional table service over the DynamoDB protocol."""

import json
from collections.abc import Sequence

from rattanwick.internal.base.errors import MaybeApplied, Unavailable
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.interfaces import Precondition, Row, Table, Write
from rattanwick.internal.platform.signed_client import ServiceClient, shorten_token
from rattanwick.internal.platform.table_items import (
    ItemConflict,
    condition,
    from_item,
    item_key,
    parse_response,
    split_key,
    to_item,
    transact_entry,
)

SERVICE = "dynamodb"
TARGET = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
MAX_TOKEN_LENGTH = 36  # characters of a client request token


class DynamoTable(Table):
    """Read and write rows of the table service."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.table_url, cfg, timers, node_id)
        self._name = cfg.table_name

    def get(self, key: str, consistent: bool = True) -> Row | None:
        """Return a row."""
        request = {"Key": item_key(key), "ConsistentRead": consistent}
        answer = self._call("GetItem", request, read=True)
        return self._row("GetItem", answer["Item"]) if "Item" in answer else None

    def query(self, prefix: str, limit: int = 1000) -> list[Row]:
        """Return rows by key prefix; the prefix holds the whole kind."""
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
            answer = self._call("Query", request, read=True)
            rows.extend(self._row("Query", item) for item in answer["Items"])
            if "LastEvaluatedKey" not in answer:
                break
            request["ExclusiveStartKey"] = answer["LastEvaluatedKey"]
        return rows

    def put(self, key: str, values: dict, expected: Precondition, token: str) -> Row:
        """Write one row.

        A conditional put is repeated after a lost answer: its condition lets it
        apply once, and the token in the row tells whether it was this write.
        """
        if expected.row_version is None:
            return self._put_any(key, values, token)
        version = expected.row_version + 1
        item = to_item(key, values, version, token)
        request = {"Item": item, **condition(expected)}
        written = Row(key, values, version)
        try:
            self._call("PutItem", request)
        except ItemConflict as exc:
            if exc.token == token:
                return written
            if exc.uncertain and exc.current and exc.current.row_version > version:
                # The write may have been applied and then replaced.
                raise MaybeApplied("PutItem", self._client.peer, "row changed since")
            raise
        return written

    def transact(self, writes: Sequence[Write], token: str) -> None:
        """Write all rows or none; repeats carry the same client request token."""
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
        # A plain put cannot raise the version, and only a transaction has a
        # token that makes an unconditional repeat safe.
        self.transact([Write(key, values, Precondition.any())], token)
        row = self.get(key)
        if row is None:
            raise MaybeApplied("put", self._client.peer, "row deleted since")
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
        headers = {"X-Amz-Target": TARGET + step, "Content-Type": CONTENT_TYPE}
        peer = self._client.peer
        uncertain = False

        def attempt(timeout: float) -> dict:
            nonlocal uncertain
            try:
                answer = self._client.call(step, "POST", "/", headers, body, timeout)
                return parse_response(step, peer, answer)
            except MaybeApplied:
                uncertain = True
                raise
            except ItemConflict as exc:
                exc.uncertain = uncertain
                raise

        return self._client.retry(step, attempt, read)
