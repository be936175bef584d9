#!/bin/bash
# Builds the stand-ins of the review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.stand"
go build -o ../../target/review/stand .
