#!/usr/bin/env bash
# Copies the table of the last bench run into docs/TRIAL.md, between the measures:begin and measures:end comments.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - run/bench/table.txt docs/TRIAL.md <<'PY'
import sys
table = open(sys.argv[1]).read().rstrip()
page = open(sys.argv[2]).read()
begin, end = "<!-- measures:begin -->\n", "<!-- measures:end -->"
head, rest = page.split(begin)
_, tail = rest.split(end)
text = "As last measured, on one machine with stand-ins:\n\n```\n" + table + "\n```\n"
open(sys.argv[2], "w").write(head + begin + text + end + tail)
PY
