"""Reads and checks sections of INI files; reports all problems at once."""

import configparser
import difflib
from dataclasses import MISSING, dataclass, fields
from typing import Any

from rattanwick.internal.base.setting_types import InvalidValue


@dataclass(slots=True, frozen=True)
class SettingProblem:
    """One invalid value, key or section of an INI file."""

    file: str
    section: str
    key: str
    message: str
    expected: str

    def __str__(self) -> str:
        section = f"[{self.section}]" if self.section else ""
        place = f"{section} {self.key}".strip() or "file"
        return f"{self.file}: {place}: {self.message}; write {self.expected}"


class SettingsError(Exception):
    """All problems that were found in a file, one line each."""

    def __init__(self, problems: list[SettingProblem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def parse_ini(name: str, content: str) -> configparser.ConfigParser:
    """Return the parsed text of a file; raise SettingsError if it is not INI.

    ``name`` is the name of the file in messages.
    """
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
    """Return what to write in place of an unknown name, the closest one first."""
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f"{matches[0]} (known: {', '.join(known)})"
    return f"one of {', '.join(known)}"


def read_section(
    file: str,
    section: str,
    values: dict[str, str],
    section_type: type,
    problems: list[SettingProblem],
) -> Any:
    """Return an instance of ``section_type``, a dataclass whose fields are settings.

    Problems are appended to ``problems``; if a value is invalid or missing, the result
    is None.
    """
    known = {
        field.name: field for field in fields(section_type) if "parse" in field.metadata
    }
    for key in values:
        if key not in known:
            hint = closest_name_hint(key, sorted(known))
            problems.append(SettingProblem(file, section, key, "unknown key", hint))
    parsed = {}
    complete = True
    for name, field in known.items():
        try:
            if name in values:
                parsed[name] = field.metadata["parse"](values[name].strip())
            elif field.default is MISSING:
                raise InvalidValue("the key is missing", field.metadata["help"])
        except InvalidValue as exc:
            problems.append(
                SettingProblem(file, section, name, exc.message, exc.expected)
            )
            complete = False
    return section_type(**parsed) if complete else None
