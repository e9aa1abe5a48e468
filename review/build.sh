#!/usr/bin/env bash
# Compiles the stand-ins and the checks of all cases. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review $(find review -name '*.java' | sort)
