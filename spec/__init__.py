"""Model-checked specifications of the protocols between nodes."""

from spec.claims import CLAIMS
from spec.handover import HANDOVER
from spec.leadership import LEADERSHIP, LEADERSHIP_OVER_RETURNS
from spec.limits import LIMITS
from spec.lists import LISTS
from spec.orders import FENCED_ORDERS, UNFENCED_ORDERS

SPECIFICATIONS = [
    CLAIMS,
    FENCED_ORDERS,
    UNFENCED_ORDERS,
    LISTS,
    HANDOVER,
    LEADERSHIP,
    LEADERSHIP_OVER_RETURNS,
    LIMITS,
]
