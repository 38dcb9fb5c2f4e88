"""Command-line interface for operators and callers.

A module adds subcommands with `@register_command` and is listed in `COMMAND_MODULES` of
``_app.py``.
"""

from laburnumrock.cli._app import COMMAND_MODULES, build_program
from laburnumrock.cli._registry import register_command

__all__ = ["COMMAND_MODULES", "build_program", "register_command"]
