"""Parse scenario files into typed steps."""

from dataclasses import dataclass
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedInput

PATIENCE_SECONDS = 40.0
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
    allowances: dict[str, dict[str, str]]  # section of the list -> changed keys
    patience: float  # seconds until a caller gives up
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

    def places(self, children):
        """Return the names of the nodes."""
        return tuple(str(child) for child in children if child is not None)

    def meanwhile(self, children):
        """Return the step that runs beside the following ones."""
        inner = _prepared(children[0])
        return Step("meanwhile", (inner,), inner.line)

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


def _prepared(step: Step) -> Step:
    """Return a step with the value of a fault as number or switch."""
    if not step.action.endswith("_fault"):
        return step
    *names, value = step.values
    return Step(step.action, (*names, _literal(value)), step.line)


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
    allowances: dict[str, dict[str, str]] = {}
    patience = PATIENCE_SECONDS
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
        elif step.action == "allowance":
            plan, pool, key, value = step.values
            allowances.setdefault(f"allowance {plan} {pool}", {})[key] = value
        elif step.action == "patience":
            patience = step.values[0]
        else:
            actions.append(_prepared(step))
    return Scenario(
        name,
        deployment,
        seed,
        settings,
        engines,
        services,
        allowances,
        patience,
        tuple(actions),
    )


def load_scenario(path: Path) -> Scenario:
    """Return the scenario of a file."""
    return parse_scenario(path.stem, path.read_text(encoding="utf-8"))
