#!/bin/sh
# Builds the stand-ins of the cases: plain Python without dependencies, so this
# only checks that they compile. Needs no network.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins/*.py review/[1-5]/*.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
P
