"""Check of requests against the blocks of prompt parts that crash endpoints."""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.active_request import ActiveRequest
from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.node_state import NodeState

log = get_logger("relay")


class PromptBlocks:
    """Blocks of prompt parts, as they hold for requests."""

    def __init__(self, state: NodeState):
        self._state = state

    def find_for_new(
        self, organisation: str, parts: tuple[str, ...]
    ) -> tuple[Block | None, str]:
        """Return the block that refuses a new request, and the block it is a trial of.

        The latter is an id, empty if the request is none.
        """
        guard = self._state.part_guard
        if parts:
            guard.wait_until_current()
        block = guard.find_block(organisation, parts)
        if block is None:
            return None, ""
        if guard.take_trial(block):
            return None, block.id
        guard.note_refusal(block)
        return block, ""

    def find(self, request: ActiveRequest) -> Block | None:
        """Return the block that holds for a request, None if it may be sent."""
        block = self._state.part_guard.find_block(
            request.organisation_name, request.parts
        )
        if block is not None and block.id != request.trial:
            return block
        return None

    def log_refusal(self, request_id: str, block: Block) -> None:
        """Log that a request is refused, and why the block is in force."""
        log.info(
            "prompt holds parts that crash endpoints",
            extra={
                "request": request_id,
                "block": block.id,
                "prompt_parts": sorted(block.parts),
                "crashes": block.crashes,
                "endpoints": block.endpoints,
                "nodes": block.nodes,
                "age_s": round(self._state.timers.now() - block.made_at, 2),
            },
        )
