#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0 | 1) export TROUBLE ;;
    *) echo "TROUBLE must be 0 or 1, not '$TROUBLE'" >&2; exit 2 ;;
esac
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing: build the deploy file first" >&2; exit 2; }
exec python3 -B case.py
