#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network and without libraries.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac -d "$root/target/review-2" "$root"/review/kit-2/rig/*.java
