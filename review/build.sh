#!/bin/sh
# Checks the stand-ins of the review. They are plain JavaScript modules that run as they are; they use msgpackr, which
# the build of the deploy file installs. No case starts a stand-in of the project's tests.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
exit 0
