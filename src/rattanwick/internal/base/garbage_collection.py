"""Garbage collection of a serving process."""

import gc

# Objects made since the last collection that start one, and collections of a
# generation before the next. A full collection of a node took 19 ms, during which no
# request goes on; with Python's own figures the messages of 24 peers caused several a
# second.
YOUNG_OBJECTS = 5000
YOUNG_COLLECTIONS = 10
MIDDLE_COLLECTIONS = 20


def tune_garbage_collector() -> None:
    """Leave modules and parts, which live as long as the process, out of collections.

    Full collections over them took about a sixth of the processor time of short calls.
    """
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
