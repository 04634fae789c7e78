"""Check all specifications and print the verdicts."""

import sys

from spec import SPECIFICATIONS
from spec.checking import check_all


def main() -> int:
    """Print all verdicts and return the exit status."""
    verdicts = check_all(SPECIFICATIONS)
    for verdict in verdicts:
        status = "ok  " if verdict.passed else "FAIL"
        print(f"{status} {verdict.states:>8} states  {verdict.name}: {verdict.detail}")
    return 0 if all(verdict.passed for verdict in verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
