#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of deploy/system.toml. Case 8 uses those of the first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standins-2
bash review/build.sh
