#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption. Build the project's program and review/build.sh first.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review/release/drain
if [ ! -x "$program" ] || [ ! -x "$root/target/release/sailtrack-mesh" ]; then
  echo "not built: cargo build --release --locked -p sailtrack-adapter; review/build.sh" >&2
  exit 2
fi
"$program" "$root" "$folder"
code=$?
tail -n 2 "$folder/record.txt"
[ "$code" -le 1 ] || code=2
exit "$code"
