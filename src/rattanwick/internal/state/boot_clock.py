"""Clock that counts the time in which the machine was suspended."""

import time


def boot_seconds() -> float:
    """Return seconds since boot, suspended time included.

    The monotonic clock stands still while a machine is suspended, so a holder
    that reads it would take an expired lease for a valid one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
