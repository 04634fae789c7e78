"""The scenario files of this project."""

from pathlib import Path

FOLDER = Path(__file__).with_name("cases")
PARALLEL = 4  # deployments side by side
SHORT_CASES = {path.stem: path for path in sorted(FOLDER.glob("*.scn"))}
LONG_CASES = {path.stem: path for path in sorted(FOLDER.glob("long/*.scn"))}
