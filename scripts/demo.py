"""Start a deployment on loopback, send a chat and a booking, and print their traces."""

import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from geventhttpclient import HTTPClient  # noqa: E402

from fakes.deployment import LocalDeployment, http_json  # noqa: E402

CALLER_KEY = "demo-key-mercados-norte"
TRACE_TIMEOUT_SECONDS = 10.0
TRACING = {"tracing": {"sample_ratio": "1"}}


def caller_headers(**headers: str) -> dict[str, str]:
    """Return the headers of a JSON request with the caller's key, and further ones."""
    return {
        "Authorization": f"Bearer {CALLER_KEY}",
        "Content-Type": "application/json",
        **headers,
    }


def get_entry_address(deployment: LocalDeployment) -> tuple[str, int]:
    """Ask the first node for entry addresses; return the first as host and port."""
    node = next(iter(deployment.nodes.values()))
    _, reply = http_json(
        "GET", node.host, node.caller_port, "/v1/entry", headers=caller_headers()
    )
    print(f"entry: {reply}")
    chosen = urlsplit(reply["addresses"][0])
    return chosen.hostname, chosen.port


def send_chat(host: str, port: int, trace_id: str) -> None:
    """Send a streamed chat request and print the response as it arrives."""
    body = (
        '{"model": "rattan-afila", "stream": true, "max_tokens": 40, "messages": '
        '[{"role": "user", "content": "Which steel keeps its edge at sea?"}]}'
    )
    client = HTTPClient(host, port, network_timeout=30)
    headers = caller_headers(traceparent=f"00-{trace_id}-{trace_id[:16]}-01")
    response = client.post("/v1/chat/completions", body=body, headers=headers)
    print(f"chat: status {response.status_code}", dict(response.headers))
    while chunk := response.read(4096):
        sys.stdout.write(chunk.decode())
    client.close()


def send_booking(host: str, port: int, trace_id: str) -> None:
    """Book a van twice with one idempotency key; the second answer is a replay."""
    for attempt in ("first", "repeat"):
        status, reply = http_json(
            "POST",
            host,
            port,
            "/v1/services/agenda-vans/bookings",
            {"market": "Mercado del Río", "day": "2027-01-11"},
            caller_headers(
                traceparent=f"00-{trace_id}-{trace_id[:16]}-01",
                **{"Idempotency-Key": "demo-booking-1"},
            ),
        )
        print(f"booking, {attempt}: status {status}, answer {reply}")


def print_trace(deployment: LocalDeployment, title: str, trace_id: str) -> None:
    """Print the spans of a trace, one a line, once no more arrive within a second."""
    deadline = time.monotonic() + TRACE_TIMEOUT_SECONDS
    spans = []
    while time.monotonic() < deadline:
        found = deployment.platform("GET", f"/_fake/spans?trace_id={trace_id}")
        if found and len(found) == len(spans):
            break
        spans = found
        time.sleep(1.0)
    print(f"trace of the {title}: {len(spans)} spans")
    for span in spans:
        print(f"  {span}")


def main() -> int:
    """Run the demo and return its exit status."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-demo-") as folder:
        with LocalDeployment("guayas", Path(folder), overrides=TRACING) as deployment:
            status, output = deployment.apply_lists()
            print(f"lists apply: exit {status}\n{output}")
            host, port = get_entry_address(deployment)
            chat_trace, booking_trace = "c" * 31 + "1", "b" * 31 + "2"
            send_chat(host, port, chat_trace)
            send_booking(host, port, booking_trace)
            print_trace(deployment, "chat request", chat_trace)
            print_trace(deployment, "booking", booking_trace)
            statuses = deployment.stop_all()
        print(f"nodes stopped: {statuses}")
    return 0 if status == 0 and not any(statuses.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
