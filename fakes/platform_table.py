"""Table service of the fake platform: a subset of the DynamoDB JSON 1.0 protocol.

The key of an item is ``kind`` (hash) and ``name`` (range), both strings. Conditions
may use ``attribute_exists``, ``attribute_not_exists``, ``begins_with`` and ``=``
joined by AND; updates may use SET and ADD.
"""

import json
import re
import time

import gevent

from fakes.platform_state import (
    AnswerLost,
    FakeState,
    HttpRequest,
    HttpResponse,
    RateLimit,
)

CONTENT_TYPE = "application/x-amz-json-1.0"
TYPE_PREFIX = "com.amazonaws.dynamodb.v20120810#"
TOKEN_RETENTION_SECONDS = 600.0
MAX_ITEM_BYTES = 400 * 1024
MAX_TRANSACT_ITEMS = 100
MAX_TOKEN_CHARS = 36
READ_OPERATIONS = ("GetItem", "Query")
FUNCTION = re.compile(r"^(\w+)\(\s*([#\w]+)\s*(?:,\s*(:\w+)\s*)?\)$")
EQUALS = re.compile(r"^([#\w]+)\s*=\s*(:\w+)$")
ADD_TERM = re.compile(r"^([#\w]+)\s+(:\w+)$")


class TableError(Exception):
    """A DynamoDB error response; ``extra`` are further fields of its body."""

    def __init__(self, kind: str, message: str, status: int = 400, **extra):
        super().__init__(message)
        self.kind = kind
        self.status = status
        self.extra = extra


class ConditionFailed(TableError):
    """A condition does not hold; ``item`` is the present item, None if absent."""

    def __init__(self, item: dict | None):
        super().__init__("ConditionalCheckFailedException", "The condition failed")
        self.item = item


class Expressions:
    """Evaluates the condition and update expressions of one request."""

    def __init__(self, request: dict):
        self._names = request.get("ExpressionAttributeNames", {})
        self._values = request.get("ExpressionAttributeValues", {})

    def name(self, text: str) -> str:
        """Return the attribute name for a ``#placeholder`` or a plain name."""
        return self._names[text] if text.startswith("#") else text

    def holds(self, expression: str, item: dict | None) -> bool:
        """Return whether a condition holds for an item, None if absent.

        Raises TableError for an expression that the fake does not support.
        """
        terms = expression.split(" AND ")
        return all(self._term(term.strip(), item or {}) for term in terms)

    def _term(self, term: str, item: dict) -> bool:
        if match := EQUALS.match(term):
            return item.get(self.name(match[1])) == self._values[match[2]]
        match = FUNCTION.match(term)
        if not match:
            raise TableError("ValidationException", f"unsupported expression: {term}")
        value = item.get(self.name(match[2]))
        if match[1] == "attribute_exists":
            return value is not None
        if match[1] == "attribute_not_exists":
            return value is None
        if match[1] == "begins_with":
            return value is not None and value["S"].startswith(
                self._values[match[3]]["S"]
            )
        raise TableError("ValidationException", f"unsupported function: {match[1]}")

    def update(self, expression: str, item: dict) -> dict:
        """Return the item after ``SET ... ADD ...``."""
        sets, _, adds = expression.removeprefix("SET ").partition(" ADD ")
        changed = dict(item)
        for term in sets.split(","):
            match = EQUALS.match(term.strip())
            changed[self.name(match[1])] = self._values[match[2]]
        for term in adds.split(",") if adds else ():
            match = ADD_TERM.match(term.strip())
            name = self.name(match[1])
            old = int(changed.get(name, {"N": "0"})["N"])
            changed[name] = {"N": str(old + int(self._values[match[2]]["N"]))}
        return changed


class FakeTable:
    """Table service with the items of all tables."""

    def __init__(self, state: FakeState):
        self._state = state
        self._items: dict[tuple[str, str, str], dict] = {}
        self._tokens: dict[str, tuple[float, str]] = {}
        self._rate = RateLimit()

    def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Serve one call; raise AnswerLost if a fault loses the response."""
        operation = http_request.headers["x-amz-target"].partition(".")[2]
        faults = self._state.faults
        is_read = operation in READ_OPERATIONS
        gevent.sleep(faults.table_delay_seconds)
        while faults.table_hang:
            gevent.sleep(0.05)
        self._state.counters["table_reads" if is_read else "table_writes"] += 1
        try:
            self._check_faults(is_read)
            answer = self._run(operation, json.loads(http_request.body))
        except TableError as exc:
            body = {"__type": TYPE_PREFIX + exc.kind, "message": str(exc), **exc.extra}
            gevent.sleep(faults.table_answer_delay_seconds)
            return HttpResponse(exc.status, json.dumps(body).encode(), CONTENT_TYPE)
        if not is_read and faults.consume("lose_table_answers"):
            raise AnswerLost
        gevent.sleep(faults.table_answer_delay_seconds)
        return HttpResponse(200, json.dumps(answer).encode(), CONTENT_TYPE)

    def _check_faults(self, is_read: bool) -> None:
        faults = self._state.faults
        if faults.table_down:
            raise TableError("ServiceUnavailable", "outage", 503)
        if faults.consume("table_errors"):
            raise TableError("InternalServerError", "internal error", 500)
        if not is_read and self._rate.exceeded(faults.table_writes_per_second):
            raise TableError("ProvisionedThroughputExceededException", "slow down")

    def _run(self, operation: str, request: dict) -> dict:
        if operation == "GetItem":
            item = self._items.get(self._key(request, request["Key"]))
            return {"Item": item} if item else {}
        if operation == "Query":
            return self._query(request)
        if operation == "TransactWriteItems":
            return self._transact(request)
        kinds = {"PutItem": "Put", "DeleteItem": "Delete", "UpdateItem": "Update"}
        if operation not in kinds:
            raise TableError("UnknownOperationException", operation)
        try:
            key, item = self._prepare(kinds[operation], request)
        except ConditionFailed as exc:
            if request.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD":
                exc.extra = {"Item": exc.item} if exc.item else {}
            raise
        self._store(key, item)
        return {"Attributes": item} if request.get("ReturnValues") == "ALL_NEW" else {}

    def _key(self, request: dict, item: dict) -> tuple[str, str, str]:
        try:
            return request["TableName"], item["kind"]["S"], item["name"]["S"]
        except KeyError as exc:
            raise TableError("ValidationException", f"missing field {exc.args[0]}")

    def _prepare(self, kind: str, request: dict) -> tuple[tuple, dict | None]:
        """Check the condition; return the key and the new item, None for a deletion.

        Raises ConditionFailed if the condition does not hold.
        """
        source = request["Item"] if kind == "Put" else request["Key"]
        key = self._key(request, source)
        current = self._items.get(key)
        expressions = Expressions(request)
        condition = request.get("ConditionExpression")
        if condition and not expressions.holds(condition, current):
            raise ConditionFailed(current)
        if kind == "Put":
            if len(json.dumps(source)) > MAX_ITEM_BYTES:
                raise TableError("ValidationException", "Item size is above 400 KB")
            return key, source
        if kind == "Update":
            expression = request["UpdateExpression"]
            return key, expressions.update(expression, current or request["Key"])
        return key, None

    def _store(self, key: tuple[str, str, str], item: dict | None) -> None:
        if item is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item

    def _query(self, request: dict) -> dict:
        expressions = Expressions(request)
        limit = int(request.get("Limit", 1000))
        start = request.get("ExclusiveStartKey", {}).get("name", {}).get("S", "")
        found = []
        for key in sorted(self._items):
            item = self._items[key]
            if key[0] != request["TableName"] or key[2] <= start:
                continue
            if expressions.holds(request["KeyConditionExpression"], item):
                found.append(item)
        page = found[:limit]
        answer = {"Items": page, "Count": len(page)}
        if len(found) > limit:
            last = page[-1]
            answer["LastEvaluatedKey"] = {"kind": last["kind"], "name": last["name"]}
        return answer

    def _transact(self, request: dict) -> dict:
        entries = request["TransactItems"]
        if len(entries) > MAX_TRANSACT_ITEMS:
            raise TableError(
                "ValidationException", "transaction has more than 100 items"
            )
        token = request.get("ClientRequestToken", "")
        if len(token) > MAX_TOKEN_CHARS:
            raise TableError("ValidationException", "token has more than 36 characters")
        digest = json.dumps(entries, sort_keys=True)
        if self._is_repeat(token, digest):
            return {}
        prepared, reasons, failed = [], [], False
        for entry in entries:
            ((kind, operation),) = entry.items()
            try:
                prepared.append(self._prepare(kind, operation))
                reasons.append({"Code": "None"})
            except ConditionFailed as exc:
                failed = True
                reason = {"Code": "ConditionalCheckFailed", "Message": str(exc)}
                if exc.item:
                    reason["Item"] = exc.item
                reasons.append(reason)
        if failed:
            raise TableError(
                "TransactionCanceledException",
                "Transaction cancelled",
                CancellationReasons=reasons,
            )
        if len({key for key, _ in prepared}) < len(prepared):
            raise TableError("ValidationException", "transaction has an item twice")
        for key, item in prepared:
            self._store(key, item)
        if token:
            self._tokens[token] = (time.monotonic(), digest)
        return {}

    def _is_repeat(self, token: str, digest: str) -> bool:
        written, known = self._tokens.get(token, (0.0, ""))
        if not known or time.monotonic() - written > TOKEN_RETENTION_SECONDS:
            return False
        if known != digest:
            raise TableError(
                "IdempotentParameterMismatchException",
                "token was used by another request",
            )
        return True
