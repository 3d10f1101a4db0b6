#!/bin/sh
# Checks, after the build of the deploy file, that the stand-ins and the cases of the second review can start: they are
# Python, need nothing but the standard library, and are compiled here into a temporary folder.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps ] || { echo "the build of deploy/system.toml comes first"; exit 1; }
folder=$(mktemp -d) || exit 1
trap 'rm -rf "$folder"' EXIT
for file in stand_in_2.py world_2.py [4-8]/case.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$file" "$folder/$(echo "$file" | tr / _)c" || exit 1
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed"; exit 1; }
