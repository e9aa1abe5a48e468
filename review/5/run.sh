#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp target/review LateHeartbeat review/5
