"""Settings of the garbage collector for a process that serves requests."""

import gc

# Arguments of gc.set_threshold. The first is the number of allocations that starts a
# collection of generation 0; the others are numbers of collections of a generation
# that start a collection of the next one. Full collections are made rare: one pauses
# all requests of a node for about 19 ms, and with Python's default thresholds the
# messages from 24 peers would start several per second.
GENERATION_0_THRESHOLD = 5000
GENERATION_1_THRESHOLD = 10
GENERATION_2_THRESHOLD = 20


def tune_garbage_collector() -> None:
    """Exclude all existing objects from collections and set the thresholds.

    Call it once the node is built: its modules and components live as long as the
    process. Scanning them in full collections would take about a sixth of the processor
    time when requests are short.
    """
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
