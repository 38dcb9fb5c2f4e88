"""Parser of the scenario language."""

from dataclasses import dataclass, field
from pathlib import Path
from string import ascii_lowercase

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from laburnumrock.scenarios._deployment import BALANCER, RELAY
from laburnumrock.scenarios._plan import DeploymentPlan

GRAMMAR = Path(__file__).with_name("scenario.lark")
CASES = Path(__file__).with_name("cases")
PARSER = Lark(GRAMMAR.read_text(encoding="utf-8"), parser="lalr", propagate_positions=True)

# Maps options of the "start" statement to fields of DeploymentPlan.
SIZE_OPTIONS = {
    "instances": "instances",
    "voters": "voters",
    "engines": "engines",
    "applications": "application_engines",
    "seed": "seed",
}
BOOLEAN_OPTIONS = {"links": "has_links", "balancer": "has_balancer"}
TIMING_PREFIX = "timing."
ENGINE_PREFIX = "engine."
SUBMIT_OPTIONS = ("over", "timeout", "output", "tokens", "keys")
DEFINING_STATEMENTS = ("submit", "let", "race", "change")


class ScenarioError(ValueError):
    """Invalid scenario file; the message starts with file, line and column."""


@dataclass(frozen=True, slots=True)
class Script:
    """A parsed scenario.

    Parameters
    ----------
    file : Path
        File that was parsed.
    guarantee : str
        Guarantee that the scenario verifies, from the ``proves`` statement.
    plan : DeploymentPlan
        Deployment that the scenario runs on.
    statements : list of Tree
        Statements after ``proves`` and ``start``.
    lines : list of str
        Lines of the file, for reports.
    """

    file: Path
    guarantee: str
    plan: DeploymentPlan
    statements: list[Tree] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)


def read_script(file: Path) -> Script:
    """Parse and validate a scenario file.

    Parameters
    ----------
    file : Path
        File to parse.

    Returns
    -------
    Script
        Parsed scenario.

    Raises
    ------
    ScenarioError
        If the syntax, an option or a name is invalid.
    """
    return parse_script(file.read_text(encoding="utf-8"), file)


def parse_script(text: str, file: Path) -> Script:
    """Parse and validate the text of a scenario file; see `read_script`."""
    try:
        tree = PARSER.parse(text + "\n")
    except UnexpectedInput as error:
        raise ScenarioError(
            f"{file}:{error.line}:{error.column}: {_describe_syntax(error)}"
        ) from error
    statements = list(tree.children)
    proves = [statement for statement in statements if statement.data == "proves"]
    starts = [statement for statement in statements if statement.data == "start_deployment"]
    if len(proves) != 1 or len(starts) != 1 or statements[:2] != [*proves, *starts]:
        raise ScenarioError(f"{file}:1:1: the first two statements must be 'proves' and 'start'")
    plan = _make_plan(starts[0], file)
    _check_names(statements[2:], plan, file)
    guarantee = proves[0].children[0].strip('"')
    return Script(file, guarantee, plan, statements[2:], text.splitlines())


def read_options(tree: Tree) -> dict[str, float | int | str]:
    """Return the options ``name=value`` of a statement."""
    options = {}
    for option in tree.find_data("option"):
        name, value = option.children
        convert = {"INT": int, "NUMBER": float}.get(value.type, lambda text: text.strip('"'))
        options[str(name)] = convert(value)
    return options


def _describe_syntax(error: UnexpectedInput) -> str:
    if isinstance(error, UnexpectedCharacters):
        return f"unexpected character {error.char!r}"
    if isinstance(error, UnexpectedToken):
        found = "end of line" if error.token.type in ("_NL", "$END") else repr(str(error.token))
        expected = ", ".join(sorted(error.accepts or error.expected))
        return f"unexpected {found}, expected one of {expected}"
    return str(error)


def _make_plan(tree: Tree, file: Path) -> DeploymentPlan:
    plan_fields: dict[str, object] = {"instances": 1, "engines": 1, "has_balancer": False}
    timing, engine_options = {}, []
    for option in tree.find_data("option"):
        name = option.children[0]
        value = read_options(option)[str(name)]
        if name in SIZE_OPTIONS:
            plan_fields[SIZE_OPTIONS[name]] = value
        elif name == "domains":
            plan_fields["failure_domains"] = tuple(ascii_lowercase[: int(value)])
        elif name in BOOLEAN_OPTIONS:
            plan_fields[BOOLEAN_OPTIONS[name]] = value == "yes"
        elif name.startswith(TIMING_PREFIX):
            timing[name.removeprefix(TIMING_PREFIX)] = float(value)
        elif name.startswith(ENGINE_PREFIX):
            engine_options += [f"--{name.removeprefix(ENGINE_PREFIX)}", str(value)]
        else:
            raise _make_error(file, name, f"unknown option {name!s}")
    return DeploymentPlan(**plan_fields, timing=timing, engine_options=tuple(engine_options))


def _check_names(statements: list[Tree], plan: DeploymentPlan, file: Path) -> None:
    """Reject names that are neither in the deployment nor defined by an earlier statement."""
    known = {RELAY, BALANCER, *plan.failure_domains}
    for domain in plan.failure_domains:
        known |= {f"{domain}-{index + 1}" for index in range(plan.instances)}
        known |= {f"{domain}-engine-{index + 1}" for index in range(plan.engines)}
        known |= {f"{domain}-application-{index + 1}" for index in range(plan.application_engines)}
    for statement in statements:
        for name in _used_names(statement):
            if name not in known:
                raise _make_error(file, name, f"{name!s} is not defined")
        if statement.data == "submit":
            for option in statement.find_data("option"):
                if option.children[0] not in SUBMIT_OPTIONS:
                    name = option.children[0]
                    raise _make_error(file, name, f"unknown option {name!s}")
        known |= _defined_names(statement)


def _defined_names(statement: Tree) -> set[str]:
    tokens = _direct_names(statement)
    if statement.data == "change":
        return {str(token) for token in tokens[:2]}
    return {str(tokens[0])} if statement.data in DEFINING_STATEMENTS else set()


def _used_names(statement: Tree) -> list[Token]:
    names = [name for at in statement.find_data("at") for name in at.children]
    names += [name for group in statement.find_data("group") for name in group.children]
    direct_names = _direct_names(statement)
    if statement.data == "let":
        names += direct_names[1:]
    elif statement.data in ("set", "service_state", "hold", "voters"):
        names += direct_names[:1]
    elif statement.data == "act":
        names += direct_names
    elif statement.data == "reconcile":
        names.append(_find_batch_name(direct_names[0]))
    elif statement.data == "expect":
        names += _names_of_condition(statement.children[0])
    return names


def _names_of_condition(condition: Tree) -> list[Token]:
    direct_names = _direct_names(condition)
    if condition.data == "operation":
        return [_find_batch_name(direct_names[0])]
    if condition.data == "service_is":
        return direct_names[:1]
    return direct_names[1:] if condition.data == "state_of" else direct_names


def _find_batch_name(key: Token) -> Token:
    """Return the batch name of an operation key: batch ``x`` has the keys ``x-0``, ``x-1``, ..."""
    return Token.new_borrow_pos(key.type, key.rpartition("-")[0], key)


def _direct_names(tree: Tree) -> list[Token]:
    return [child for child in tree.children if isinstance(child, Token) and child.type == "NAME"]


def _make_error(file: Path, token: Token, detail: str) -> ScenarioError:
    return ScenarioError(f"{file}:{token.line}:{token.column}: {detail}")
