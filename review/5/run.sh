#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
REPO="$(cd ../.. && pwd)"
export REPO
exec "$REPO/target/review/stand" many-versions "$PWD"
