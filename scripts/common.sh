# Shared by the scripts: the repository root and a virtual environment.
set -euo pipefail
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
VENV="${APRICOTCART_VENV:-$ROOT/.venv}"
PYTHON="$VENV/bin/python"
export PYTHONPATH="$ROOT/src${PYTHONPATH:+:$PYTHONPATH}"

# need_packages NAME: installs requirements/NAME.txt once per content.
need_packages() {
    local sum stamp
    sum="$(cat "$ROOT"/requirements/*.txt | sha256sum | cut -c1-16)"
    stamp="$VENV/.apricotcart-$1-$sum"
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
