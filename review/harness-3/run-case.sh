# Runs one case of `target/review-3`. Usage: run-case.sh PROGRAM SCENARIO FOLDER
# FOLDER is that of the case; the record goes there.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
program=target/review-3/$1
record=$3/record.txt
if [[ ! -x $program || ! -x target/tools/bamboorack_gateway ]]; then
  echo "not built: run the build of deploy/system.toml and review/build-3.sh"
  exit 2
fi
folder=$(mktemp -d)
timeout -k 5 110 "$program" "$2" "$record" "$folder"
code=$?
if [[ -f $folder/pids ]]; then
  while read -r pid; do
    if grep -qs bamboorack_gateway "/proc/$pid/cmdline"; then kill -9 "$pid"; fi
  done <"$folder/pids"
fi
[[ -n ${KEEP_LOGS:-} ]] && cp "$folder"/*.log "$KEEP_LOGS"/
rm -rf "$folder"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
