"""The scenario files of this project, by name."""

from pathlib import Path

CASES_FOLDER = Path(__file__).with_name("cases")
DEFAULT_PARALLEL = 4  # deployments that run at the same time
SHORT_CASES = {path.stem: path for path in sorted(CASES_FOLDER.glob("*.scn"))}
LONG_CASES = {path.stem: path for path in sorted(CASES_FOLDER.glob("long/*.scn"))}
