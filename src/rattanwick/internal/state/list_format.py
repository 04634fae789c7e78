"""Read and check the two lists, plans and allowances."""

from dataclasses import dataclass, field, replace

from rattanwick.internal.base.fields import (
    IDENTIFIER,
    identifier,
    identifier_list,
    number,
    setting,
    sha256_list,
    whole_number,
    yes_no,
)
from rattanwick.internal.base.ini import (
    Fault,
    SettingsError,
    closest,
    parse_ini,
    read_section,
)

PLANS_FILE = "plans.ini"
ALLOWANCES_FILE = "allowances.ini"
# Both texts travel in one frame between nodes, and a frame holds 1 MiB.
MAX_TEXT_BYTES = 400_000
MOST_TOKENS = 10**12
MOST_REQUESTS = 10**9


@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """[plan NAME]: the organisations that hold a plan."""

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
        whole_number(0, MOST_TOKENS), "tokens_per_minute = a whole number"
    )
    requests_per_minute: int = setting(
        whole_number(0, MOST_REQUESTS), "requests_per_minute = a whole number"
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
    """Hold the checked contents of both lists."""

    plans: dict[str, Plan] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    allowances: dict[tuple[str, str], Allowance] = field(default_factory=dict)


def parse_lists(plans_text: str, allowances_text: str) -> Lists:
    """Return the checked lists; raise SettingsError with the faults of both."""
    faults: list[Fault] = []
    plans, organisations = _read_plans(plans_text, faults)
    allowances = _read_allowances(allowances_text, faults)
    lists = Lists(plans, organisations, allowances)
    _check_members(lists, faults)
    _check_keys(lists, faults)
    _check_allowed_plans(lists, faults)
    if faults:
        raise SettingsError(faults)
    return lists


def _parse(file: str, content: str, faults: list[Fault]):
    """Return the sections as (words of the title, title, values)."""
    size = len(content.encode("utf-8", errors="replace"))
    if size > MAX_TEXT_BYTES:
        wrong = f"the file has {size} bytes"
        faults.append(Fault(file, "", "", wrong, f"at most {MAX_TEXT_BYTES} bytes"))
        return []
    try:
        parser = parse_ini(file, content)
    except SettingsError as exc:
        faults.extend(exc.faults)
        return []
    titles = parser.sections()
    return [(title.split() or [""], title, dict(parser[title])) for title in titles]


def _read_plans(content: str, faults: list[Fault]):
    kinds = {"plan": Plan, "organisation": Organisation}
    found: dict[str, dict] = {"plan": {}, "organisation": {}}
    for words, title, values in _parse(PLANS_FILE, content, faults):
        if words[0] not in kinds:
            hint = closest(words[0], ["organisation NAME", "plan NAME"])
            wrong = "the section is not known"
            faults.append(Fault(PLANS_FILE, title, "", wrong, hint))
            continue
        if not _check_title(PLANS_FILE, title, words, 2, faults):
            continue
        kind, name = words
        if name in found[kind]:
            faults.append(_duplicate(PLANS_FILE, title))
        section = read_section(PLANS_FILE, title, values, kinds[kind], faults)
        # A name whose section has faults stays known, so that references to it
        # are not reported as further faults.
        found[kind][name] = replace(section, name=name) if section else None
    return found["plan"], found["organisation"]


def _read_allowances(content: str, faults: list[Fault]):
    allowances = {}
    for words, title, values in _parse(ALLOWANCES_FILE, content, faults):
        if words[0] != "allowance":
            wrong = "the section is not known"
            hint = "[allowance PLAN POOL]"
            faults.append(Fault(ALLOWANCES_FILE, title, "", wrong, hint))
            continue
        if not _check_title(ALLOWANCES_FILE, title, words, 3, faults):
            continue
        key = (words[1], words[2])
        if key in allowances:
            faults.append(_duplicate(ALLOWANCES_FILE, title))
        section = read_section(ALLOWANCES_FILE, title, values, Allowance, faults)
        allowances[key] = (
            replace(section, plan=key[0], pool=key[1]) if section else None
        )
    return allowances


def _check_title(
    file: str, title: str, words: list[str], count: int, faults: list[Fault]
) -> bool:
    if len(words) == count and all(IDENTIFIER.match(word) for word in words[1:]):
        return True
    form = "[allowance PLAN POOL]" if count == 3 else f"[{words[0]} NAME]"
    instead = f"{form} with names of lower-case letters, digits, '.', '_' and '-'"
    faults.append(Fault(file, title, "", "the section title is not valid", instead))
    return False


def _duplicate(file: str, title: str) -> Fault:
    return Fault(file, title, "", "the section appears twice", "one section")


def _check_members(lists: Lists, faults: list[Fault]) -> None:
    """Check that plans and organisations name each other."""
    for name, plan in lists.plans.items():
        for member in plan.organisations if plan else ():
            if member not in lists.organisations:
                wrong = f"organisation {member!r} has no section"
                instead = f"a section [organisation {member}], or remove the name"
                section = f"plan {name}"
                faults.append(
                    Fault(PLANS_FILE, section, "organisations", wrong, instead)
                )
    for name, organisation in lists.organisations.items():
        if organisation is None:
            continue
        section = f"organisation {name}"
        if organisation.plan not in lists.plans:
            wrong = f"plan {organisation.plan!r} has no section"
            instead = f"a section [plan {organisation.plan}] or another plan"
            faults.append(Fault(PLANS_FILE, section, "plan", wrong, instead))
            continue
        holders = [
            plan
            for plan, content in lists.plans.items()
            if content and name in content.organisations
        ]
        if lists.plans[organisation.plan] and holders != [organisation.plan]:
            wrong = f"the organisation is listed by: {', '.join(holders) or 'no plan'}"
            instead = f"the name in organisations of [plan {organisation.plan}] only"
            faults.append(Fault(PLANS_FILE, section, "plan", wrong, instead))


def _check_keys(lists: Lists, faults: list[Fault]) -> None:
    """Check that a key identifies one organisation."""
    holders: dict[str, str] = {}
    for name, organisation in lists.organisations.items():
        for digest in organisation.key_hashes if organisation else ():
            holder = holders.setdefault(digest, name)
            if holder != name:
                wrong = f"a key is also held by organisation {holder!r}"
                section = f"organisation {name}"
                instead = "a key of its own for each organisation"
                faults.append(Fault(PLANS_FILE, section, "key_hashes", wrong, instead))


def _check_allowed_plans(lists: Lists, faults: list[Fault]) -> None:
    """Check that allowances name plans that exist."""
    for plan, pool in lists.allowances:
        if plan not in lists.plans:
            wrong = f"plan {plan!r} is not in {PLANS_FILE}"
            known = sorted(lists.plans)
            instead = closest(plan, known) if known else f"a plan of {PLANS_FILE}"
            section = f"allowance {plan} {pool}"
            faults.append(Fault(ALLOWANCES_FILE, section, "", wrong, instead))
