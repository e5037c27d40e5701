#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../bin/standin .
