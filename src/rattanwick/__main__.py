"""Run the command line as ``python -m rattanwick``."""

import sys

from rattanwick.cli import main

if __name__ == "__main__":
    sys.exit(main())
