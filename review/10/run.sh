#!/bin/bash
exec "$(dirname "$0")/../stand-in-2/run-case.sh" "$(cd "$(dirname "$0")" && pwd)" 10
