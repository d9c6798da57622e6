#!/usr/bin/env bash
# Exits with 1 if an acknowledged configuration cannot be read back, 0 if it can, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 run.py
