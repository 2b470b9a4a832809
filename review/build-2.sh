#!/usr/bin/env bash
# Prepares what the scripts of the cases 6 to 10 start besides the program of the deploy file. All stand-ins are in lab2.py, which needs no build.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import asyncio, sys; sys.exit(0 if hasattr(asyncio, "timeout") else "Python 3.11 or later is needed")'
