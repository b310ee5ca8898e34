#!/usr/bin/env bash
# Runs the case of claim.txt; with TROUBLE=0 without the disruption. Exit code 1: the rule was broken;
# 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/harness target/release/cardamomloomd; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review/harness weights . review/2/record.txt
