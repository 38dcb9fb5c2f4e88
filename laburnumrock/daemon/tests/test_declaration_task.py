"""Tests of the declaration task over real loopback connections."""

import asyncio
from types import SimpleNamespace

from result import Err, Ok

from laburnumrock.daemon._declaration_task import DeclarationTask
from laburnumrock.daemon._hold_file import HoldFile
from laburnumrock.declarations import ApplyChange, DeclarationStore, HoldRegistry
from laburnumrock.declarations.tests._builders import plain_template, put
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.scenarios import find_free_ports
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

NAMES = ("a1", "a2", "b1", "b2")


class FakeLog:
    """Log with one voter that applies commands immediately while `quorum` is set."""

    def __init__(self):
        self.replica = SimpleNamespace(store=DeclarationStore())
        # A new leader appends an entry without a command, which the store never sees.
        self.index = 1
        self.is_leader = True
        self.quorum = True

    async def propose(self, command):
        if not self.quorum:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        self.index += 1
        return Ok(self.replica.store.apply(command, self.index))

    async def read_confirmed(self):
        if not self.quorum:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        return Ok(self.index)


def _make_settings(folder):
    ports = find_free_ports(2 * len(NAMES))
    addresses = {
        name: {"host": "127.0.0.1", "caller_port": ports[2 * i], "peer_port": ports[2 * i + 1]}
        for i, name in enumerate(NAMES)
    }
    peers = [
        {"instance_id": name, "failure_domain": name[0], "voter": name == "a1", **address}
        for name, address in addresses.items()
    ]
    return [
        InstanceSettings.model_validate(
            {
                "instance_id": name,
                "failure_domain": name[0],
                "listen": addresses[name],
                "data_folder": str(folder / name),
                "shared_key_file": "x",
                "operator_key_file": "x",
                "peers": peers,
            }
        )
        for name in NAMES
    ]


async def _start(settings, log):
    network = PeerNetwork(settings, b"k" * 32)
    replica = log.replica if settings.own_peer.voter else None
    task = DeclarationTask(settings, network, log, replica)
    await network.start()
    await task.start()
    return task


async def _stop(tasks):
    for task in tasks:
        await task.stop()
        await task.network.stop()


async def _wait_for(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


class TestDeclarationTask:
    def test_change_comes_into_force_and_a_dead_instance_is_named(self, tmp_path):
        """A change must count as applied everywhere only once every instance has applied it.

        An instance that does not respond is reported as lagging.
        """

        async def run():
            log = FakeLog()
            tasks = [await _start(settings, log) for settings in _make_settings(tmp_path)]
            await _wait_for(lambda: all(task.is_ready() for task in tasks))
            command = ApplyChange("r", 0, [put(plain_template())], "op", 0.0)
            assert (await tasks[3].submit(command)).unwrap().revision == 1
            await _wait_for(lambda: all(task.view.revision == 1 for task in tasks))
            assert await tasks[3].find_lagging_instances(1) == []
            assert await tasks[3].find_lagging_instances(2) == list(NAMES)
            assert len((await tasks[3].read_history(5)).unwrap()) == 1
            await _stop(tasks[1:2])
            lagging = await tasks[3].find_lagging_instances(2)
            await _stop([tasks[0], *tasks[2:]])
            return lagging

        assert "a2" in asyncio.run(run())

    def test_hold_spreads_in_its_domain_and_enters_the_log(self, tmp_path):
        """An emergency drain must take effect without a quorum and must not get lost."""

        async def run():
            log = FakeLog()
            tasks = [await _start(settings, log) for settings in _make_settings(tmp_path)]
            await _wait_for(lambda: all(task.is_ready() for task in tasks))
            log.quorum = False
            assert tasks[3].add_hold("a", "op").is_err()
            tasks[3].add_hold("b", "op").unwrap()
            assert await tasks[3].find_instances_without_hold("b") == []
            assert [task.view.is_in_service("failure_domain", "b") for task in tasks] == [
                True,
                True,
                False,
                False,
            ]
            stored = HoldRegistry()
            HoldFile(tmp_path / "b1").load(stored)
            assert stored.is_held("b", 0)
            log.quorum = True
            await _wait_for(lambda: all(task.view.revision == 1 for task in tasks))
            await _wait_for(lambda: not tasks[2].view.holds.pending())
            served = [task.view.is_in_service("failure_domain", "b") for task in tasks]
            await _stop(tasks)
            return served

        assert asyncio.run(run()) == [False] * 4

    def test_hold_that_is_removed_while_it_enters_the_log(self, tmp_path):
        """Guards against a removed hold that stays in the log as a drain."""

        async def run():
            log = FakeLog()
            network = PeerNetwork(_make_settings(tmp_path)[2], b"k" * 32)
            task = DeclarationTask(network.settings, network, log)
            task.add_hold("b", "op").unwrap()
            propose = log.propose

            async def propose_slowly(command):
                log.propose = propose
                committed = await propose(command)
                task.remove_hold("b", "op").unwrap()
                return committed

            log.propose = propose_slowly
            await task._enter_holds()
            store = log.replica.store
            assert not store.current.is_in_service("failure_domain", "b")
            await task._enter_holds()
            assert store.current.is_in_service("failure_domain", "b")
            assert task.view.holds.pending() == []
            revision = store.revision
            await task._enter_holds()
            return store.revision == revision

        assert asyncio.run(run())

    def test_holds_travel_on_membership_probes(self, tmp_path):
        """A hold must reach an instance although its push was lost; malformed data is ignored."""
        tasks = [
            DeclarationTask(settings, PeerNetwork(settings, b"k" * 32), FakeLog())
            for settings in _make_settings(tmp_path)[:2]
        ]
        tasks[0].view.holds.add("a", "op", 1.0)
        for facts in ({}, {"holds": 3}, {"holds": [{"failure_domain": "a"}]}):
            tasks[1].receive_facts("a1", facts)
        assert tasks[1].view.is_in_service("failure_domain", "a")
        tasks[1].receive_facts("a1", tasks[0].provide_facts())
        assert not tasks[1].view.is_in_service("failure_domain", "a")


class TestHoldFile:
    def test_unreadable_file_is_kept_aside(self, tmp_path):
        """A damaged holds file must not prevent an instance from starting."""
        (tmp_path / "holds.json").write_text("{")
        HoldFile(tmp_path).load(HoldRegistry())
        assert (tmp_path / "holds.unreadable").exists()

    def test_disk_that_refuses_reads_keeps_the_holds(self, tmp_path, monkeypatch):
        """A passing error of the disk must not set the stored holds aside."""
        registry = HoldRegistry()
        registry.add("a", "op", 1.0)
        HoldFile(tmp_path).save(registry)

        def refuse(*arguments, **options):
            raise OSError("the disk does not answer")

        with monkeypatch.context() as patch:
            patch.setattr("pathlib.Path.read_text", refuse)
            HoldFile(tmp_path).load(HoldRegistry())
        loaded = HoldRegistry()
        HoldFile(tmp_path).load(loaded)
        assert loaded.is_held("a", 0)

    def test_save_after_a_refused_read_keeps_the_holds(self, tmp_path, monkeypatch):
        """A hold that begins after a refused read must not replace the stored holds."""
        registry = HoldRegistry()
        registry.add("a", "op", 1.0)
        HoldFile(tmp_path).save(registry)

        def refuse(*arguments, **options):
            raise OSError("the disk does not answer")

        later = HoldRegistry()
        hold_file = HoldFile(tmp_path)
        with monkeypatch.context() as patch:
            patch.setattr("pathlib.Path.read_text", refuse)
            hold_file.load(later)
            later.add("b", "op", 2.0)
            hold_file.save(later)
            assert not hold_file.is_current
        hold_file.save(later)
        loaded = HoldRegistry()
        HoldFile(tmp_path).load(loaded)
        assert hold_file.is_current
        assert all(one.is_held(name, 0) for one in (later, loaded) for name in ("a", "b"))

    def test_holds_are_stored_once_there_is_room(self, tmp_path, monkeypatch):
        """An emergency drain that began while the disk was full must survive a later restart."""

        def refuse(handle):
            raise OSError("no space left on device")

        async def run():
            log = FakeLog()
            tasks = [await _start(settings, log) for settings in _make_settings(tmp_path)]
            await _wait_for(lambda: all(task.is_ready() for task in tasks))
            log.quorum = False
            with monkeypatch.context() as patch:
                patch.setattr("os.fsync", refuse)
                tasks[3].add_hold("b", "op").unwrap()
            await _wait_for(lambda: tasks[3].hold_file.is_current)
            await _stop(tasks)

        asyncio.run(run())
        stored = HoldRegistry()
        HoldFile(tmp_path / NAMES[3]).load(stored)
        assert stored.is_held("b", 0)
