#!/bin/bash
# Plays case 7. TROUBLE=0: without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not be played.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
standin=target/review-2/review-standin
celld=target/src/doorwood-celld
if [ ! -x "$standin" ] || [ ! -x "$celld" ]; then
  echo "build first: the build line of deploy/system.toml, review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
pid=
cleanup() {
  [ -z "$pid" ] || kill -TERM "$pid" 2>/dev/null
  rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
# The instances end with the stand-in that starts them.
timeout -k 2 115 "$standin" rack "${TROUBLE:-1}" "$celld" "$folder" \
  "$here/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
