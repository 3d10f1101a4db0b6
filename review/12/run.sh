#!/bin/sh
# Plays the case; TROUBLE=0 leaves the failures out. Exits with 1 if Acks is broken, 0 if it holds.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." exec python3 review/12/case.py
