"""Registry of subcommands."""

import click

COMMANDS: dict[str, click.Command] = {}


def register_command(command: click.Command) -> click.Command:
    """Register a subcommand or a group of subcommands.

    Parameters
    ----------
    command : click.Command
        Command to register; apply this decorator above ``@click.command`` or ``@click.group``.

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
