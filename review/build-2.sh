#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into review/target/tool-2.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
. "$root/bin/find-java"
rm -rf "$root/review/target/tool-2"
mkdir -p "$root/review/target/tool-2"
"$JAVA_HOME/bin/javac" -Xlint:all -d "$root/review/target/tool-2" "$root"/review/tool-2/*.java
