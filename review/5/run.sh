#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run_case.sh" "$(dirname "$0")"
