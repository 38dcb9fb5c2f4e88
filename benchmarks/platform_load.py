"""Compare the value that placement policies earn under the users' peak load, in virtual time."""

import click

from laburnumrock.dispatch.tests.replay import POLICIES, measure


@click.command()
@click.option(
    "--seeds", default=5, show_default=True, help="Number of seeded replays of each policy."
)
def main(seeds: int) -> None:
    """Print the mean fraction of the total value that is earned, by policy and kind of request."""
    click.echo(f"{'policy':14} {'short':>7} {'medium':>7} {'long':>7} {'all':>7}")
    for policy in POLICIES:
        results = [measure(policy, seed) for seed in range(1, seeds + 1)]
        means = {kind: sum(result[kind] for result in results) / seeds for kind in results[0]}
        row = " ".join(f"{means[kind]:7.3f}" for kind in ("short", "medium", "long", "all"))
        click.echo(f"{policy:14} {row}")


if __name__ == "__main__":
    main()
