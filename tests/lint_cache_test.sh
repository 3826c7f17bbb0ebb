#!/usr/bin/env bash
# Checks that scripts/lint_file.sh lints a file again whenever something that
# decides the verdict has changed, and never remembers a finding.
#   lint_cache_test.sh REPOSITORY
set -euo pipefail

script=$(cd "$1" && pwd)/scripts/lint_file.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

export CLANG_TIDY=$work/linter
export LINT_CACHE=$work/cache

# A linter that counts its runs and finds fault with the word BAD.
cat > linter << 'EOF'
#!/usr/bin/env bash
case "$1" in
  --version) cat version ;;
  --dump-config) cat config ;;
  *) echo run >> runs && ! grep -q BAD a.cc a.h ;;
esac
EOF
chmod +x linter
echo 1 > version
echo checks > config
mkdir build

write_database() {
  printf '[{\n  "directory": "%s/build",\n  "command": "g++ %s -o a.o -c %s/a.cc",\n  "file": "%s/a.cc"\n}]\n' \
    "$work" "$1" "$work" "$work" > build/compile_commands.json
}

write_sources() {
  echo '#include "a.h"' > a.cc
  echo 'int f();' > a.h
}

# expect RUNS STATUS WHAT: lints a.cc; RUNS is the number of runs so far.
expect() {
  local status=0
  "$script" build a.cc > output 2>&1 || status=$?
  local runs
  runs=$(wc -l < runs)
  if [ "$runs" != "$1" ] || [ "$status" != "$2" ]; then
    echo "$3: $runs runs, status $status; expected $1 runs, status $2"
    cat output
    exit 1
  fi
}

write_sources
write_database -O1
expect 1 0 "first run"
expect 1 0 "nothing changed"
echo 'int g();' >> a.h
expect 2 0 "a header changed"
write_sources
expect 2 0 "the header is as before"
echo 'int h();' >> a.cc
expect 3 0 "the source changed"
write_sources
write_database -O2
expect 4 0 "an option changed"
echo 2 > version
expect 5 0 "the version of the linter changed"
echo 'other checks' > config
expect 6 0 "the configuration changed"
echo '// BAD' >> a.h
expect 7 1 "a finding"
expect 8 1 "a finding is not remembered"
LINT_CACHE='' expect 9 1 "without a cache"
write_sources
LINT_CACHE='' expect 10 0 "without a cache, clean"
echo "lint cache: every check passed"
