"""Nodes and endpoints, as the instance list describes them."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """Kind of an endpoint: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Server that runs requests: a model engine or a service."""

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
    checks_fencing: bool = False  # it refuses orders with an old fencing number
    leaving: bool = False  # it gets no new requests


@dataclass(slots=True, frozen=True)
class Node:
    """Process of this system that accepts callers, and its addresses."""

    id: str
    data_centre: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    instance_id: str = ""
    incarnation: int = 0  # start time of the process, Unix milliseconds
    leaving: bool = False
