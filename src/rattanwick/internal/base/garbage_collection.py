"""Settings of the garbage collector for a process that serves requests."""

import gc

# Arguments of gc.set_threshold: new objects that start a collection of generation 0,
# then collections of a generation that start one of the next. A full collection of a
# node took 19 ms, during which no request makes progress. With Python's default
# thresholds, the messages of 24 peers caused several full collections per second.
GENERATION_0_THRESHOLD = 5000
GENERATION_1_THRESHOLD = 10
GENERATION_2_THRESHOLD = 20


def tune_garbage_collector() -> None:
    """Exclude all present objects from collections and set the thresholds.

    Call it once the node is built: its modules and components live as long as the
    process. Full collections over them took about a sixth of the processor time of
    short calls.
    """
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
