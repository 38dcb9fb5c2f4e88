"""Program ``laburnumrock-standin``: emulators of everything around the serving layer."""

import asyncio
from pathlib import Path

import click

from laburnumrock.standins._application import (
    ApplicationEngine,
    ApplicationOptions,
    make_application_engine_application,
)
from laburnumrock.standins._balancer import Balancer, make_balancer_application
from laburnumrock.standins._engine import EngineOptions, ModelEngine
from laburnumrock.standins._engine_http import MAX_BODY_BYTES, make_engine_application
from laburnumrock.standins._parameters import EngineParameters
from laburnumrock.standins._relay import Relay, make_relay_application, parse_link
from laburnumrock.standins._service import (
    follow_refusals,
    listen,
    run_until_signal,
    serve_upstreams,
)


@click.group()
def main() -> None:
    """Emulators for tests, demonstrations and load measurements."""


def _upstream_name(name: str, index: int, count: int) -> str:
    return name if count == 1 else f"{name}-{index}"


@main.command()
@click.option("--id", "name", required=True, help="Upstream id; a number is added with --count.")
@click.option("--failure-domain", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--base-port", type=int, required=True, help="Port of the first engine.")
@click.option("--count", type=int, default=1, show_default=True, help="Engines in this process.")
@click.option("--announce-to", multiple=True, help="Entry address host:port; repeatable.")
@click.option("--advertise", help="Announced host:port, for example of a link of the relay.")
@click.option("--model", "models", multiple=True, default=("quote",), show_default=True)
@click.option("--adapter", "adapters", multiple=True)
@click.option("--version", "versions", multiple=True)
@click.option("--cold", is_flag=True, help="Start cold.")
@click.option("--cold-load-s", type=float, default=0.0, show_default=True)
@click.option("--fencing", type=click.Choice(["obey", "ignore"]), default="obey")
@click.option("--order-key-file", type=click.Path(exists=True, path_type=Path))
@click.option("--cancel-on-disconnect", is_flag=True)
@click.option("--report-lag-s", type=float, default=0.3, show_default=True)
@click.option("--order-load-s", type=float, default=0.2, show_default=True)
@click.option("--kv-capacity", type=int, default=450_000, show_default=True)
@click.option("--max-waiting", type=int, default=64, show_default=True)
@click.option("--time-factor", type=float, default=1.0, show_default=True)
@click.option("--seed", type=int, default=0, show_default=True)
def engine(name: str, count: int, base_port: int, **options: object) -> None:
    """Run one or more model engines."""
    if count > 1 and options["advertise"]:
        raise click.UsageError("--advertise names one address and needs --count 1")
    key_file = options["order_key_file"]
    order_key = key_file.read_text(encoding="utf-8").strip() if key_file else None
    parameters = EngineParameters(
        kv_capacity_tokens=options["kv_capacity"],
        max_waiting=options["max_waiting"],
        cold_load_s=options["cold_load_s"],
    )

    async def serve(stopping: asyncio.Event) -> None:
        engines = []
        for index in range(count):
            engine_options = EngineOptions(
                upstream_id=_upstream_name(name, index, count),
                failure_domain=options["failure_domain"],
                host=options["host"],
                port=base_port + index,
                models=options["models"],
                adapters=options["adapters"],
                versions=options["versions"],
                announce_to=options["announce_to"],
                advertise=options["advertise"],
                is_cold=options["cold"],
                enforces_fencing=options["fencing"] == "obey",
                order_key=order_key,
                cancels_on_disconnect=options["cancel_on_disconnect"],
                report_lag_s=options["report_lag_s"],
                order_load_s=options["order_load_s"],
                time_factor=options["time_factor"],
                seed=options["seed"],
                parameters=parameters,
            )
            model_engine = ModelEngine(engine_options)
            application = make_engine_application(model_engine)
            listen(application, engine_options.host, engine_options.port, MAX_BODY_BYTES)
            engines.append(model_engine)
        await serve_upstreams(engines, stopping)

    run_until_signal(serve)


@main.command()
@click.option("--id", "name", required=True, help="Upstream id.")
@click.option("--failure-domain", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--control-port", type=int, help="Second port, open while the first is closed.")
@click.option("--announce-to", multiple=True, help="Entry address host:port; repeatable.")
@click.option("--advertise", help="Announced host:port, for example of a link of the relay.")
@click.option("--service", "services", multiple=True, default=("orders",), show_default=True)
@click.option("--delay-s", type=float, default=0.0, show_default=True)
@click.option("--drop-answers", type=int, default=0, help="Calls to drop; -1 for all.")
@click.option("--fail-after", type=int, default=0, help="Calls to answer with 500; -1 for all.")
@click.option("--refuse-connections", is_flag=True)
def application(name: str, control_port: int | None, **options: object) -> None:
    """Run an application engine."""
    application_options = ApplicationOptions(
        upstream_id=name,
        failure_domain=options["failure_domain"],
        host=options["host"],
        port=options["port"],
        services=options["services"],
        announce_to=options["announce_to"],
        advertise=options["advertise"],
        delay_s=options["delay_s"],
    )

    async def serve(stopping: asyncio.Event) -> None:
        application_engine = ApplicationEngine(application_options)
        application_engine.faults.drop_answers = options["drop_answers"]
        application_engine.faults.fail_after = options["fail_after"]
        application_engine.faults.refuses_connections = options["refuse_connections"]
        web_application = make_application_engine_application(application_engine)
        if control_port is not None:
            listen(web_application, options["host"], control_port)
        port_task = asyncio.create_task(follow_refusals(application_engine, web_application))
        await serve_upstreams([application_engine], stopping)
        port_task.cancel()

    run_until_signal(serve)


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True, help="Port for clients.")
@click.option("--control-port", type=int, help="Port of GET /backends.")
@click.option("--backend", "backends", multiple=True, required=True, help="Entry host:port.")
def balancer(host: str, port: int, control_port: int | None, backends: tuple[str, ...]) -> None:
    """Run the load balancer in front of the entry instances."""

    async def serve(stopping: asyncio.Event) -> None:
        spreader = Balancer(list(backends))
        await spreader.start(host, port)
        if control_port is not None:
            listen(make_balancer_application(spreader), host, control_port)
        await stopping.wait()
        await spreader.stop()

    run_until_signal(serve)


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--control-port", type=int, required=True, help="Port of GET and POST /links.")
@click.option("--link", "links", multiple=True, help="NAME=PORT:TARGET_HOST:TARGET_PORT.")
@click.option("--links-file", type=click.Path(exists=True, path_type=Path), help="One a line.")
def relay(host: str, control_port: int, links: tuple[str, ...], links_file: Path | None) -> None:
    """Run links that can be cut, healed and delayed."""
    lines = links_file.read_text(encoding="utf-8").split() if links_file else []

    async def serve(stopping: asyncio.Event) -> None:
        link_relay = Relay([parse_link(text, host) for text in [*links, *lines]])
        await link_relay.start(host)
        listen(make_relay_application(link_relay), host, control_port)
        await stopping.wait()
        await link_relay.stop()

    run_until_signal(serve)


if __name__ == "__main__":
    main()
