"""Transfer of KV caches between engines; a failure only costs recomputation."""

import json

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.model.instances import Endpoint

log = get_logger("reclaim")

TRANSFER_TIMEOUT_SECONDS = 1.0

TRANSFERS = counter("kv_transfers", "KV cache exports and imports", ("step", "result"))


def export_kv(endpoint: Endpoint, request_id: str) -> dict | None:
    """Return the KV cache of a request that runs at an engine, or None on failure."""
    return _post(endpoint, "/kv/export", {"request_id": request_id}, "export")


def import_kv(endpoint: Endpoint, kv: dict) -> bool:
    """Import a KV cache into an engine; return whether the engine accepted it."""
    return _post(endpoint, "/kv/import", kv, "import") is not None


def _post(endpoint: Endpoint, path: str, body: dict, step: str) -> dict | None:
    client = HTTPClient(
        endpoint.host,
        endpoint.port,
        connection_timeout=TRANSFER_TIMEOUT_SECONDS,
        network_timeout=TRANSFER_TIMEOUT_SECONDS,
    )
    try:
        headers = {"Content-Type": "application/json"}
        response = client.post(path, body=json.dumps(body), headers=headers)
        reply = json.loads(response.read() or b"{}")
    except (OSError, ValueError, HTTPParseError) as exc:
        log.info("KV cache %s at endpoint %s failed: %s", step, endpoint.id, exc)
        TRANSFERS.labels(step, "failed").inc()
        return None
    finally:
        client.close()
    done = response.status_code == 200
    TRANSFERS.labels(step, "done" if done else "refused").inc()
    return reply if done else None
