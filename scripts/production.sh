#!/usr/bin/env bash
# Checks that the build which deploy/system.toml names as running in production is part of this history: an upgrade begins
# with that build, made from it. Where the history is not there (a shallow clone, no repository) it checks the form alone.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(sed -nE 's/^production = "([0-9a-f]{40})".*/\1/p' deploy/system.toml)
if [ -z "$commit" ]; then
  echo "deploy/system.toml: no production commit is named" >&2
  exit 1
fi
if [ "$(git rev-parse --is-shallow-repository 2>/dev/null)" != false ]; then
  exit 0
fi
if ! git merge-base --is-ancestor "$commit" HEAD; then
  echo "deploy/system.toml: production $commit is no part of this history" >&2
  exit 1
fi
