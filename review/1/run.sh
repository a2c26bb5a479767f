#!/usr/bin/env bash
# Plays case 1 of the review, oversized. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec ../play.sh oversized "$PWD/record.txt"
