#!/bin/sh
# The stand-ins of review/lib-2 are plain JavaScript: there is nothing to compile. This checks that each can be loaded,
# with the libraries that the build of the deploy file installed.
cd "$(dirname "$0")/lib-2" || exit 1
for module in wire state cloud worker cluster; do
  node --input-type=module -e "await import('$(pwd)/$module.mjs')" || exit 1
done
