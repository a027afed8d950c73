import json
from pathlib import Path

import pytest

from primrosehub.binaries.hub import hub, read_settings

VALID = {
    "name": "hub-1",
    "zone": "zone-a",
    "ip": "10.0.0.1",
    "callers": "10.0.0.1:80",
    "ready": "10.0.0.1:81",
    "peer": "10.0.0.1:82",
    "store": "10.0.0.9:80",
}


def write_settings(tmp_path, **changes):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID | changes))
    return path


def test_valid_settings_pass_the_check(tmp_path, capsys):
    assert hub(settings=write_settings(tmp_path, unknown_field=1), check=True) == 0
    assert "are valid" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("store", "nowhere"),
        ("callers", "10.0.0.1:99999"),
        ("cpu_share", 0),
        ("bounds", {"grace_s": -1}),
    ],
)
def test_an_invalid_setting_is_named(tmp_path, capsys, field, value):
    assert hub(settings=write_settings(tmp_path, **{field: value}), check=True) == 2
    assert field in capsys.readouterr().err


def test_missing_settings_are_named(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{}")
    with pytest.raises(ValueError, match="name"):
        read_settings(path)


def test_the_template_names_the_settings_that_the_daemon_reads():
    template = Path(__file__).parents[2] / "deploy" / "settings.json.template"
    for field in VALID:
        assert f'"{field}"' in template.read_text()
