#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8. They are Python programs that use the
# standard library only, so "building" checks that the interpreter is there and
# that they compile. The programs under test come from the build command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in standins-2/*.py 6/case.py 7/case.py 8/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
