#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.cases-3"
go build -o ../../target/review-3/cases3 .
