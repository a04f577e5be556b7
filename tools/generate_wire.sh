#!/bin/sh
# Generates the Python classes of wire.thrift with slots.
set -eu
cd "$(dirname "$0")/../packages/protocol/radishtray_protocol"
out=$(mktemp -d)
thrift --gen py:slots -out "$out" wire.thrift
cp "$out"/radishtray_protocol/_gen/*.py _gen/
rm -r "$out"
