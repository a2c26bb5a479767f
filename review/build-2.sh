#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standins-2
