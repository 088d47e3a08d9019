#!/usr/bin/env bash
# Builds the stand-ins of all cases. The project's programs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/testdata/stand
