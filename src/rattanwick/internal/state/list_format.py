"""Parser of the two lists, ``plans.ini`` and ``allowances.ini``."""

from dataclasses import dataclass, field, replace

from rattanwick.internal.base.ini import (
    SettingProblem,
    SettingsError,
    closest_name_hint,
    parse_ini,
    read_section,
)
from rattanwick.internal.base.setting_types import (
    IDENTIFIER_PATTERN,
    identifier,
    identifier_list,
    number,
    setting,
    sha256_list,
    whole_number,
    yes_no,
)

PLANS_FILE = "plans.ini"
ALLOWANCES_FILE = "allowances.ini"
# Nodes send each other both texts in one frame, which holds at most 1 MiB.
MAX_TEXT_BYTES = 400_000
MAX_TOKENS_PER_MINUTE = 10**12
MAX_REQUESTS_PER_MINUTE = 10**9


@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """[plan NAME]: a plan and the organisations that have it."""

    name: str = ""
    organisations: tuple[str, ...] = setting(
        identifier_list, "organisations = NAME NAME ..."
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class Organisation:
    """[organisation NAME]: the plan of an organisation and its caller keys."""

    name: str = ""
    plan: str = setting(identifier, "plan = NAME of a [plan NAME] section")
    key_hashes: tuple[str, ...] = setting(
        sha256_list, "key_hashes = SHA-256 digests of caller keys"
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class Allowance:
    """[allowance PLAN POOL]: what all organisations of a plan may use of a pool."""

    plan: str = ""
    pool: str = ""
    tokens_per_minute: int = setting(
        whole_number(0, MAX_TOKENS_PER_MINUTE), "tokens_per_minute = a whole number"
    )
    requests_per_minute: int = setting(
        whole_number(0, MAX_REQUESTS_PER_MINUTE), "requests_per_minute = a whole number"
    )
    max_output_tokens: int = setting(
        whole_number(0, 10_000_000), "max_output_tokens = a whole number"
    )
    priority: int = setting(whole_number(0, 9), "priority = 0 to 9", 5)
    hedge: bool = setting(yes_no, "hedge = yes or no", False)
    max_deadline_seconds: float = setting(
        number(0.1, 86_400), "max_deadline_seconds = a number of seconds", 600.0
    )


@dataclass(slots=True, frozen=True)
class Lists:
    """The checked contents of both lists."""

    plans: dict[str, Plan] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    allowances: dict[tuple[str, str], Allowance] = field(default_factory=dict)


def parse_lists(plans_text: str, allowances_text: str) -> Lists:
    """Return the checked lists; raise SettingsError with all problems of both."""
    problems: list[SettingProblem] = []
    plans, organisations = _read_plans(plans_text, problems)
    allowances = _read_allowances(allowances_text, problems)
    lists = Lists(plans, organisations, allowances)
    _check_members(lists, problems)
    _check_keys(lists, problems)
    _check_allowed_plans(lists, problems)
    if problems:
        raise SettingsError(problems)
    return lists


def _parse_sections(file: str, content: str, problems: list[SettingProblem]):
    """Return sections as (words of the title, title, values).

    Appends to ``problems`` if the file is too large or cannot be parsed.
    """
    size = len(content.encode("utf-8", errors="replace"))
    if size > MAX_TEXT_BYTES:
        message = f"the file has {size} bytes"
        problems.append(
            SettingProblem(file, "", "", message, f"at most {MAX_TEXT_BYTES} bytes")
        )
        return []
    try:
        parser = parse_ini(file, content)
    except SettingsError as exc:
        problems.extend(exc.problems)
        return []
    titles = parser.sections()
    return [(title.split() or [""], title, dict(parser[title])) for title in titles]


def _read_plans(content: str, problems: list[SettingProblem]):
    kinds = {"plan": Plan, "organisation": Organisation}
    found: dict[str, dict] = {"plan": {}, "organisation": {}}
    for words, title, values in _parse_sections(PLANS_FILE, content, problems):
        if words[0] not in kinds:
            hint = closest_name_hint(words[0], ["organisation NAME", "plan NAME"])
            message = "the section is not known"
            problems.append(SettingProblem(PLANS_FILE, title, "", message, hint))
            continue
        if not _check_title(PLANS_FILE, title, words, 2, problems):
            continue
        kind, name = words
        if name in found[kind]:
            problems.append(_duplicate(PLANS_FILE, title))
        section = read_section(PLANS_FILE, title, values, kinds[kind], problems)
        # A name stays known if its section has problems, so that references to it
        # are not reported as further problems.
        found[kind][name] = replace(section, name=name) if section else None
    return found["plan"], found["organisation"]


def _read_allowances(content: str, problems: list[SettingProblem]):
    allowances = {}
    for words, title, values in _parse_sections(ALLOWANCES_FILE, content, problems):
        if words[0] != "allowance":
            message = "the section is not known"
            hint = "[allowance PLAN POOL]"
            problems.append(SettingProblem(ALLOWANCES_FILE, title, "", message, hint))
            continue
        if not _check_title(ALLOWANCES_FILE, title, words, 3, problems):
            continue
        key = (words[1], words[2])
        if key in allowances:
            problems.append(_duplicate(ALLOWANCES_FILE, title))
        section = read_section(ALLOWANCES_FILE, title, values, Allowance, problems)
        allowances[key] = (
            replace(section, plan=key[0], pool=key[1]) if section else None
        )
    return allowances


def _check_title(
    file: str, title: str, words: list[str], count: int, problems: list[SettingProblem]
) -> bool:
    if len(words) == count and all(
        IDENTIFIER_PATTERN.match(word) for word in words[1:]
    ):
        return True
    form = "[allowance PLAN POOL]" if count == 3 else f"[{words[0]} NAME]"
    expected = f"{form} with names of lower-case letters, digits, '.', '_' and '-'"
    problems.append(
        SettingProblem(file, title, "", "the section title is not valid", expected)
    )
    return False


def _duplicate(file: str, title: str) -> SettingProblem:
    return SettingProblem(file, title, "", "the section appears twice", "one section")


def _check_members(lists: Lists, problems: list[SettingProblem]) -> None:
    """Check that an organisation is listed by the plan it names, and no other."""
    for name, plan in lists.plans.items():
        for member in plan.organisations if plan else ():
            if member not in lists.organisations:
                message = f"organisation {member!r} has no section"
                expected = f"a section [organisation {member}], or remove the name"
                section = f"plan {name}"
                problems.append(
                    SettingProblem(
                        PLANS_FILE, section, "organisations", message, expected
                    )
                )
    for name, organisation in lists.organisations.items():
        if organisation is None:
            continue
        section = f"organisation {name}"
        if organisation.plan not in lists.plans:
            message = f"plan {organisation.plan!r} has no section"
            expected = f"a section [plan {organisation.plan}] or another plan"
            problems.append(
                SettingProblem(PLANS_FILE, section, "plan", message, expected)
            )
            continue
        holders = [
            plan
            for plan, content in lists.plans.items()
            if content and name in content.organisations
        ]
        if lists.plans[organisation.plan] and holders != [organisation.plan]:
            message = (
                f"the organisation is listed by: {', '.join(holders) or 'no plan'}"
            )
            expected = f"the name in organisations of [plan {organisation.plan}] only"
            problems.append(
                SettingProblem(PLANS_FILE, section, "plan", message, expected)
            )


def _check_keys(lists: Lists, problems: list[SettingProblem]) -> None:
    """Check that no two organisations have a key in common."""
    holders: dict[str, str] = {}
    for name, organisation in lists.organisations.items():
        for digest in organisation.key_hashes if organisation else ():
            holder = holders.setdefault(digest, name)
            if holder != name:
                message = f"organisation {holder!r} has the same key"
                section = f"organisation {name}"
                expected = "a key of its own for each organisation"
                problems.append(
                    SettingProblem(PLANS_FILE, section, "key_hashes", message, expected)
                )


def _check_allowed_plans(lists: Lists, problems: list[SettingProblem]) -> None:
    """Check that each allowance names a plan that exists."""
    for plan, pool in lists.allowances:
        if plan not in lists.plans:
            message = f"plan {plan!r} is not in {PLANS_FILE}"
            known = sorted(lists.plans)
            expected = (
                closest_name_hint(plan, known) if known else f"a plan of {PLANS_FILE}"
            )
            section = f"allowance {plan} {pool}"
            problems.append(
                SettingProblem(ALLOWANCES_FILE, section, "", message, expected)
            )
