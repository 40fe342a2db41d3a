#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the build of the deploy
# file first, whose jar has the JSON library.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
. "$root/bin/find-java"
cd "$root"
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 -cp target/jackdawsaddle.jar review/tool-3/review3/*.java
