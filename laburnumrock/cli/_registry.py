"""Registry of subcommands."""

import click

COMMANDS: dict[str, click.Command] = {}


def register_command(command: click.Command) -> click.Command:
    """Add a subcommand or a group of them to the program.

    Parameters
    ----------
    command : click.Command
        Decorate above ``@click.command`` or ``@click.group``.

    Returns
    -------
    click.Command
        The same command.

    Raises
    ------
    ValueError
        If another command has the same name.
    """
    if command.name in COMMANDS:
        raise ValueError(f"command {command.name} is registered twice")
    COMMANDS[command.name] = command
    return command
