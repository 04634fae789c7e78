"""Parse scenario files into typed steps."""

from dataclasses import dataclass
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedInput

GRAMMAR = Path(__file__).with_name("grammar.lark")


@dataclass(slots=True, frozen=True)
class Step:
    """Hold one step: its action, its values in order, its line."""

    action: str
    values: tuple
    line: int


@dataclass(slots=True, frozen=True)
class Scenario:
    """Hold a parsed scenario."""

    name: str
    deployment: str
    seed: int
    settings: dict[str, dict[str, str]]
    engines: dict[str, object]
    services: dict[str, object]
    steps: tuple[Step, ...]


class ScenarioError(Exception):
    """Report a scenario that cannot be read."""


class StepBuilder(Transformer):
    """Turn each rule into a Step."""

    def start(self, children):
        """Return the steps in order."""
        return [child for child in children if isinstance(child, Step)]

    def duration(self, children):
        """Return seconds."""
        return float(children[0])

    def place(self, children):
        """Return the node's name."""
        return str(children[0])

    def copies(self, children):
        """Return how often each call is sent."""
        return int(children[0])

    def __default__(self, data, children, meta):
        """Return the step of any other rule."""
        values = tuple(_plain(child) for child in children)
        lines = [child.line for child in children if isinstance(child, Token)]
        return Step(str(data), values, lines[0] if lines else 0)


def _plain(child):
    if not isinstance(child, Token):
        return child
    if child.type == "INT":
        return int(child)
    return str(child).strip()


def _literal(text: str) -> object:
    """Return a number or switch where the text is one."""
    if text in ("true", "false"):
        return text == "true"
    try:
        number = float(text)
    except ValueError:
        return text
    return int(number) if number.is_integer() else number


_PARSER = Lark(GRAMMAR.read_text(encoding="utf-8"), parser="earley", lexer="dynamic")


def parse_scenario(name: str, text: str) -> Scenario:
    """Return the scenario of a text; raise ScenarioError naming the line."""
    try:
        steps = StepBuilder().transform(_PARSER.parse(text))
    except UnexpectedInput as exc:
        context = exc.get_context(text)
        raise ScenarioError(f"{name}: line {exc.line} is not a step\n{context}")
    deployment, seed = "guayas", 1
    settings: dict[str, dict[str, str]] = {}
    engines: dict[str, object] = {}
    services: dict[str, object] = {}
    actions = []
    for step in steps:
        if step.action == "deployment":
            deployment = step.values[0]
        elif step.action == "seed":
            seed = step.values[0]
        elif step.action == "setting":
            section, key, value = step.values
            settings.setdefault(section, {})[key] = value
        elif step.action in ("engines", "services"):
            target = engines if step.action == "engines" else services
            target[step.values[0]] = _literal(step.values[1])
        elif step.action.endswith("_fault"):
            *names, value = step.values
            values = (*names, _literal(value))
            actions.append(Step(step.action, values, step.line))
        else:
            actions.append(step)
    return Scenario(name, deployment, seed, settings, engines, services, tuple(actions))


def load_scenario(path: Path) -> Scenario:
    """Return the scenario of a file."""
    return parse_scenario(path.stem, path.read_text(encoding="utf-8"))
