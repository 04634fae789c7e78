"""Clock that includes the time for which the machine was suspended."""

import time


def boot_seconds() -> float:
    """Return the seconds since boot, including suspended time.

    The monotonic clock stops while a machine is suspended. A lease holder that used
    it would take an expired lease for a valid one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
