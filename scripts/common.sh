# Shared by the scripts: repository root, virtual environment and package
# installation.
set -euo pipefail
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
VENV="${APRICOTCART_VENV:-$ROOT/.venv}"
PYTHON="$VENV/bin/python"
export PYTHONPATH="$ROOT/src${PYTHONPATH:+:$PYTHONPATH}"

# install_packages NAME: installs requirements/NAME.txt into the virtual
# environment, unless it did so with the current requirements files.
install_packages() {
    local checksum stamp
    checksum="$(cat "$ROOT"/requirements/*.txt | sha256sum | cut -c1-16)"
    stamp="$VENV/.apricotcart-$1-$checksum"
    [ -e "$stamp" ] && return 0
    [ -x "$PYTHON" ] || python3 -m venv "$VENV"
    local log
    log="$(mktemp)"
    if ! "$PYTHON" -m pip install -q -r "$ROOT/requirements/$1.txt" >"$log" 2>&1
    then
        cat "$log" >&2
        return 1
    fi
    rm -f "$log"
    touch "$stamp"
}
