"""Read INI files into checked sections and collect every fault."""

import configparser
import difflib
from dataclasses import MISSING, dataclass, fields
from typing import Any

from rattanwick.internal.base.setting_types import InvalidValue


@dataclass(slots=True, frozen=True)
class SettingProblem:
    """Describe one fault in an INI file."""

    file: str
    section: str
    key: str
    message: str
    expected: str

    def __str__(self) -> str:
        section = f"[{self.section}]" if self.section else ""
        where = f"{section} {self.key}".strip() or "file"
        return f"{self.file}: {where}: {self.message}; write {self.expected}"


class SettingsError(Exception):
    """Report all faults of a file."""

    def __init__(self, problems: list[SettingProblem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def parse_ini(name: str, content: str) -> configparser.ConfigParser:
    """Return the parsed file; raise SettingsError where it is not INI."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="", delimiters=("=",)
    )
    parser.optionxform = str
    try:
        parser.read_string(content, source=name)
    except configparser.Error as exc:
        reason = str(exc).replace("\n", " ")
        expected = "sections as [name] and lines as key = value, each once"
        raise SettingsError([SettingProblem(name, "", "", reason, expected)])
    return parser


def closest_name_hint(name: str, known: list[str]) -> str:
    """Return a hint that names the closest known name."""
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f"{matches[0]} (known: {', '.join(known)})"
    return f"one of {', '.join(known)}"


def read_section(
    file: str,
    section: str,
    values: dict[str, str],
    kind: type,
    problems: list[SettingProblem],
) -> Any:
    """Return the checked section, or None after adding its faults."""
    known = {item.name: item for item in fields(kind) if "parse" in item.metadata}
    for key in values:
        if key not in known:
            hint = closest_name_hint(key, sorted(known))
            problems.append(
                SettingProblem(file, section, key, "the key is not known", hint)
            )
    parsed = {}
    complete = True
    for name, item in known.items():
        try:
            if name in values:
                parsed[name] = item.metadata["parse"](values[name].strip())
            elif item.default is MISSING:
                raise InvalidValue("the key is missing", item.metadata["help"])
        except InvalidValue as exc:
            problems.append(
                SettingProblem(file, section, name, exc.message, exc.expected)
            )
            complete = False
    return kind(**parsed) if complete else None
