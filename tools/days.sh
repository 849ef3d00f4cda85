#!/usr/bin/env bash
# Mean G of the decision module over drawn days, by kind. Where the operators' kit is there:
#   tools/days.sh KIT SITE FIRST LAST [KIND ...]
# KIT is the folder that holds bin/lbsim, SITE a site file, FIRST and LAST bound the seeds. Runs beside one another on
# all cores; a day with a broken rule is named. The journal of this checkout is not written to: days run in a copy.
set -euo pipefail
if [ $# -lt 4 ]; then
    sed -n '2,5p' "$0" >&2
    exit 2
fi
kit=$(realpath "$1") site=$(realpath "$2") first=$3 last=$4
shift 4
kinds=("$@")
[ ${#kinds[@]} -gt 0 ] || kinds=(trouble overload big only:deploy only:slow only:hot_key)
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cargo build --release --locked --quiet --manifest-path "$root/Cargo.toml" -p tallypin-simhost
git clone --quiet "$root" "$work/copy"
mkdir "$work/days"
cd "$work/copy"
for kind in "${kinds[@]}"; do
    for seed in $(seq "$first" "$last"); do
        "$kit/bin/lbsim" draw "$site" --seed "$seed" --kind "$kind" >"$work/days/${kind/:/_}-$seed.json"
    done
done
one() {
    out=$("$1/bin/lbsim" run "$2" --why "a drawn day" -- "$3/target/release/tallypin-simhost" 2>&1) || true
    g=$(sed -n 's/^G \([-0-9.]*\).*/\1/p' <<<"$out" | head -n 1)
    kept=$(grep -c 'rules kept, no fault' <<<"$out" || true)
    echo "$(basename "$2" .json) ${g:-0} $kept"
}
export -f one
find "$work/days" -name '*.json' -print0 |
    xargs -0 -P "$(nproc)" -I{} bash -c 'one "$@"' _ "$kit" {} "$root" | sort |
    awk '{ split($1, a, "-"); sum[a[1]] += $2; n[a[1]]++; all += $2; days++; if ($3 == 0) broken = broken " " $1 }
         END { for (k in sum) printf "%-14s %.3f over %d days\n", k, sum[k] / n[k], n[k]
               printf "%-14s %.3f over %d days\n", "all", all / days, days
               if (broken != "") { print "rules broken or no result:" broken; exit 1 } }'
