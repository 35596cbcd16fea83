#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The deploy file's build line builds the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/harness-2 ./review/harness-2
