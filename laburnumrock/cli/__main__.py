"""Entry point of the ``laburnumrock`` command."""

from laburnumrock.cli._app import build_program


def main() -> None:
    """Run the command-line interface."""
    build_program()(prog_name="laburnumrock")


if __name__ == "__main__":
    main()
