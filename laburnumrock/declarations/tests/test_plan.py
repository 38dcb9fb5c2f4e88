"""Tests of declaration models, folders and change plans."""

import json

import pytest

from laburnumrock.declarations import DeclarationSet, diff_sets, parse_changes, plan_changes
from laburnumrock.declarations import read_folder as read
from laburnumrock.declarations.tests._builders import drain, plain_template, put


def _write(folder, name, content):
    (folder / name).write_text(json.dumps(content))


class TestFolder:
    @pytest.mark.parametrize(
        ("fault", "path"),
        [
            ({"limits": {"requests_per_s": -1, "tokens_per_s": 1, "concurrency": 1}}, "requests"),
            ({"limts": {}}, "limts"),
            ({"max_output_tokens": "100"}, "max_output_tokens"),
            ({"client_account": "two words"}, "client_account"),
        ],
    )
    def test_faulty_field_is_named(self, tmp_path, fault, path):
        """Guards against an invalid field that is ignored or reported without its path."""
        _write(tmp_path, "a.json", [plain_template("x"), plain_template(**fault)])
        failure = read(tmp_path).unwrap_err()
        assert failure.field_path.startswith("a.json[1].")
        assert path in failure.field_path

    def test_key_in_place_of_its_hash_is_not_echoed(self, tmp_path):
        """Guards against an API key that appears in an error message or log."""
        _write(tmp_path, "a.json", plain_template(api_key_sha256="secret-key"))
        assert "secret" not in str(read(tmp_path).unwrap_err())

    def test_duplicate_is_refused(self, tmp_path):
        """Guards against two files that declare the same key, where the last one wins silently."""
        _write(tmp_path, "a.json", plain_template())
        _write(tmp_path, "b.json", plain_template(model="n"))
        assert "a.json and b.json" in read(tmp_path).unwrap_err().detail

    def test_empty_folder_is_refused(self, tmp_path):
        """Guards against a mistyped folder name that removes all declarations."""
        assert read(tmp_path).is_err()


class TestPlan:
    def test_plan_reaches_the_folder_and_is_then_empty(self, tmp_path):
        """Guards against a plan that does not reach the folder's set or is not idempotent."""
        _write(tmp_path, "a.json", [plain_template(), plain_template("new")])
        desired = read(tmp_path).unwrap()
        plain = [plain_template(model="old"), plain_template("gone")]
        current = DeclarationSet.from_plain(plain)
        actions = [(item.key, item.action) for item in diff_sets(current, desired)]
        assert actions == [
            ("template/acme", "change"),
            ("template/gone", "remove"),
            ("template/new", "add"),
        ]
        reached = current.with_changes(plan_changes(current, desired)).unwrap()
        assert plan_changes(reached, desired) == []

    def test_folder_keeps_a_drain_it_does_not_name(self):
        """Guards against applying a folder that puts a drained failure domain back into service."""
        current = DeclarationSet.from_plain([drain("a")["declaration"]])
        assert plan_changes(current, DeclarationSet()) == []


class TestChanges:
    def test_same_key_twice_is_refused(self):
        """Guards against a list of changes whose result depends on their order."""
        failure = parse_changes([put(plain_template()), put(plain_template())]).unwrap_err()
        assert failure.field_path == "changes[1]"

    def test_path_in_a_change_is_named(self):
        """Guards against an error path that does not match the operator's document structure."""
        bad = plain_template(deadlines={"short_s": 9, "medium_s": 1, "long_s": 2})
        assert parse_changes([put(bad)]).unwrap_err().field_path == (
            "changes[0].declaration.deadlines"
        )
