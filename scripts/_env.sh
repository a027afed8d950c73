# Creates .venv from the pinned requirements, again if they change; adds it to PATH.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.sum
sum=$(cat requirements.txt pyproject.toml | sha256sum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$sum" ]; then
    python3 -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        -r requirements.txt
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --no-deps --no-build-isolation --editable .
    printf '%s' "$sum" >"$stamp"
fi
PATH="$PWD/.venv/bin:$PATH"
export PATH
