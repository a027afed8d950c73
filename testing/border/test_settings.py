import json

import pytest

from primrosehub.border.settings import EntrySettings, SettingsError, read_settings

ADDRESS = {"ip": "127.0.0.1", "port": 7000}
VALID = {
    "name": "entry-1",
    "zone": "zone-1",
    "peer": ADDRESS,
    "ops": ADDRESS,
    "callers": ADDRESS,
    "platform": {"table": ADDRESS, "objects": ADDRESS, "host_list": ADDRESS},
}


def read_with(tmp_path, **changes):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID | changes))
    return read_settings(EntrySettings, path)


def test_valid_settings_are_read(tmp_path):
    assert str(read_with(tmp_path).callers) == "127.0.0.1:7000"


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        (
            {"callers": {"ip": "localhost", "port": 1}},
            "callers.ip: .*IPv4 or IPv6.*'localhost'",
        ),
        ({"callers": {"ip": "127.0.0.1", "port": 0}}, "callers.port.*not 0"),
        ({"name": "Entry 1"}, "name.*pattern.*not 'Entry 1'"),
        ({"speed": 3}, "speed: Extra inputs are not permitted"),
        ({"shards": -1}, "shards.*not -1"),
        ({"timing": {"renew_s": 5}}, "take_over_s must be at least twice renew_s"),
        ({"timing": {"lease_s": 9}}, "lease_s must be at least three times sync_s"),
        ({"zone": None}, "zone.*not None"),
    ],
)
def test_an_invalid_setting_is_named_with_its_value(tmp_path, changes, message):
    with pytest.raises(SettingsError, match=message):
        read_with(tmp_path, **changes)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match=r"none\.json: cannot be read"):
        read_settings(EntrySettings, tmp_path / "none.json")
