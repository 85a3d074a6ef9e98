#!/usr/bin/env bash
# See claim.txt.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-2/run-case.sh" reader "$here"
