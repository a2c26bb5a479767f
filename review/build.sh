#!/usr/bin/env bash
# Builds the stand-ins of the platform, the engines and the clients that the cases of the review use.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
