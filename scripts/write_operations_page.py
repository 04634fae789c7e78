"""Generate the tables of settings and metrics in docs/OPERATIONS.md from the program.

With ``--check`` it writes nothing, and exits with 1 if the page is out of date.
"""

import importlib
import pkgutil
import sys
from dataclasses import MISSING, fields
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src")]

import rattanwick.internal  # noqa: E402
from rattanwick.internal.base.metrics import REGISTRY  # noqa: E402
from rattanwick.internal.base.settings import Settings  # noqa: E402

PAGE = ROOT / "docs" / "OPERATIONS.md"


def settings_tables() -> str:
    """Return a Markdown table for each section of the settings."""
    parts = []
    for section in fields(Settings):
        _, _, purpose = section.type.__doc__.partition(": ")
        rows = [
            f"### `[{section.name}]`: {purpose.rstrip('.')}",
            "",
            "| key | default | unit | effect |",
            "| --- | --- | --- | --- |",
        ]
        for item in fields(section.type):
            unit, text = item.metadata["unit"], item.metadata["help"]
            default = default_text(item.default)
            rows.append(f"| `{item.name}` | {default} | {unit or '-'} | {text} |")
        parts.append("\n".join(rows))
    return "\n\n".join(parts)


def default_text(default: object) -> str:
    """Return a default value as it is written in a settings file."""
    if default is MISSING:
        return "must be set"
    if isinstance(default, bool):
        return "yes" if default else "no"
    if isinstance(default, float):
        return f"{default:g}"
    return str(default) if default not in ("", ()) else "empty"


def metrics_table() -> str:
    """Return a Markdown table of all metrics that the modules register."""
    package = rattanwick.internal
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        importlib.import_module(module.name)
    rows = ["| metric | type | meaning |", "| --- | --- | --- |"]
    # prometheus_client has no public access to the label names of a metric.
    for metric in sorted(REGISTRY._collector_to_names, key=lambda item: item._name):
        name = metric._name + ("_total" if metric._type == "counter" else "")
        labels = f"{{{','.join(metric._labelnames)}}}" if metric._labelnames else ""
        text = metric._documentation
        rows.append(f"| `{name}{labels}` | {metric._type} | {text} |")
    return "\n".join(rows)


def replace_part(page: str, name: str, content: str) -> str:
    """Return the page with the content between the markers of ``name`` replaced."""
    begin, end = f"<!-- {name}: generated -->\n", f"<!-- {name}: end -->"
    before, found, rest = page.partition(begin)
    _, closed, after = rest.partition(end)
    if not (found and closed):
        raise SystemExit(f"{PAGE}: the markers of {name} are missing")
    return f"{before}{begin}\n{content}\n\n{end}{after}"


def new_page() -> str:
    """Return the page with newly generated tables."""
    page = PAGE.read_text(encoding="utf-8")
    page = replace_part(page, "settings", settings_tables())
    return replace_part(page, "metrics", metrics_table())


def main() -> int:
    """Write or check the page."""
    page = new_page()
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if page != PAGE.read_text(encoding="utf-8"):
        print("docs/OPERATIONS.md is out of date; run scripts/write_operations_page.py")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
