"""Nodes and endpoints as the instance list shows them."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """Tell model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Describe one back end."""

    id: str
    pool: str
    kind: EndpointKind
    data_centre: str
    region: str
    host: str
    port: int
    slots: int = 8  # requests that it runs at once
    price: float = 1.0  # currency units an hour
    reclaimable: bool = True
    checks_fencing: bool = False
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Node:
    """Describe one entry instance and the process on it."""

    id: str
    data_centre: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    instance_id: str = ""
    incarnation: int = 0
    leaving: bool = False
