"""Configurations in the operator's format."""

from clients import HOST, KEY

TENANT = "hule930"


def make_route(name, prefix, kind, service, **more) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "slo_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
        **more,
    }


def make_configuration(version: int, routes: list[dict], **engines: dict) -> dict:
    """Return a configuration; ``engines`` names the services with model engines."""
    names = sorted({route["service"] for route in routes} | engines.keys())
    services = []
    for name in names:
        service = {"name": name, "health_path": "/health", "max_conns": 360}
        if name in engines:
            service["engine"] = engines[name]
        services.append(service)
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


ENGINE = {"slots": 64, "kv_capacity": 374098}
