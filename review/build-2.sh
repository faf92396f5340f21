#!/bin/bash
# Prepares the stand-ins of the cases 4 to 8. They are Python scripts with nothing but the standard library, so there is
# nothing to compile: this checks that they can be parsed here.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
export PYTHONDONTWRITEBYTECODE=1
for file in lib2/standin.py [4-8]/run.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
echo "stand-ins parsed"
