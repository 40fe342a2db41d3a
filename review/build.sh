#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/find-java
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 25 -d target/review review/lib/*.java review/[0-9]*/*.java
