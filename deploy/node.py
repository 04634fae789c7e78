"""Run a gateway node without importing the other commands.

The first argument is the folder with the package, relative to the parent of this
file's folder: ``src`` of a checkout, or the compiled copy that the build makes.
"""

import gc
import signal
import sys
from pathlib import Path


def stop_before_start(*_) -> None:
    """Exit with status 0 on a signal that arrives before the node serves."""
    sys.exit(0)


# In effect until the node installs its own handlers. A reload has no effect on a node
# that runs, and must not end one that starts.
signal.signal(signal.SIGTERM, stop_before_start)
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Garbage from imports is collected once, before the node serves.
gc.disable()

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey  # noqa: E402

monkey.patch_all()

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / sys.argv.pop(1)))

from rattanwick.internal.commands.gateway import main  # noqa: E402

sys.exit(main())
