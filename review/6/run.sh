#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../kit-2/run.sh" "$here" AddedMachine
