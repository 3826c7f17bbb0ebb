#!/usr/bin/env bash
# Runs clang-tidy on one source file, unless the same input was found clean
# before.
#   scripts/lint_file.sh BUILD SOURCE
# BUILD holds compile_commands.json. The verdict on a file depends on the linter,
# its configuration, the compile command, and the content of the source and of
# each header that it includes; the cache key is a hash of all of these. Paths
# within the repository are hashed relative to it, so that a fresh clone finds
# the entries of another. Only clean verdicts are kept.
# CLANG_TIDY names the linter, LINT_CACHE the folder of the cache; an empty
# LINT_CACHE turns the cache off.
set -euo pipefail

build=$1
source=$2
root=$PWD
tidy=${CLANG_TIDY:-clang-tidy-16}
cache=${LINT_CACHE-${XDG_CACHE_HOME:-$HOME/.cache}/sassafrasbank/lint}

lint() { "$tidy" -p "$build" --quiet "$source" 2> /dev/null; }

# Prints the shell command that compiles the source, or nothing if the compile
# database doesn't contain it.
compile_command() {
  awk -v file="\"file\": \"$root/$source\"" '
    /^ *"command": / { command = $0 }
    index($0, file) { print command; exit }
  ' "$build/compile_commands.json" |
    sed -e 's/^ *"command": "//' -e 's/",$//' -e 's/\\"/"/g' -e 's/\\\\/\\/g'
}

# Prints the path of each file that the compiler reads, one a line.
included_files() {
  local without_output
  without_output=$(sed -E 's/ -o [^ ]+//' <<< "$1")
  (cd "$build" && eval "$without_output -M") |
    tr -d '\\' | tr -s ' ' '\n' | sed -e 1d -e '/^$/d' | sort -u
}

cache_key() {
  local command=$1 files
  files=$(included_files "$command")
  {
    "$tidy" --version
    "$tidy" --dump-config "$source" 2> /dev/null
    echo "$command"
    (cd "$build" && xargs sha256sum <<< "$files")
  } | sed "s:$root:.:g" | sha256sum | cut -d ' ' -f 1
}

command=$(compile_command)
if [ -z "$cache" ] || [ -z "$command" ]; then
  lint
  exit
fi
entry=$cache/$(cache_key "$command")
if [ -e "$entry" ]; then
  touch "$entry"
  exit 0
fi
lint
mkdir -p "$cache"
touch "$entry"
