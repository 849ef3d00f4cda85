#!/usr/bin/env bash
# Compares the balancer with textbook policies on the same randomly generated days. Needs the operators' kit:
#   tools/compare.sh KIT SITE FIRST LAST [KIND ...]
# KIT is the folder with bin/lbsim, SITE a site file, FIRST and LAST the range of seeds. Prints the mean G of each policy
# with the number of days on which it broke a rule, the balancer's mean G by kind of day, and for each day the G of the
# balancer, of random choice and of the best policy that kept the rules. POLICIES replaces the default policies.
# Exit status 1: the balancer broke a rule or fell below random choice on a day. Runs in a copy to keep the journal as it is.
set -euo pipefail
if [ $# -lt 4 ]; then
    sed -n '2,7p' "$0" >&2
    exit 2
fi
kit=$(realpath "$1") site=$(realpath "$2") first=$3 last=$4
shift 4
kinds=("$@")
[ ${#kinds[@]} -gt 0 ] || kinds=(trouble overload big only:deploy only:slow only:hot_key only:discovery_stale)
default_policies=(random round-robin least-request two-choices least-request+retry1 stock lowest-report hash hash+bound
    sticky-table least-tokens shared-prefix+bound)
read -ra policies <<<"${POLICIES:-${default_policies[*]}}"
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
host=${TALLYPIN_SIMHOST:-}
if [ -z "$host" ]; then
    cargo build --release --locked --quiet --manifest-path "$root/Cargo.toml" -p tallypin-simhost
    host=$root/target/release/tallypin-simhost
fi
git clone --quiet "$root" "$work/copy"
mkdir "$work/days"
cd "$work/copy"
for kind in "${kinds[@]}"; do
    for seed in $(seq "$first" "$last"); do
        "$kit/bin/lbsim" draw "$site" --seed "$seed" --kind "$kind" >"$work/days/${kind/:/_}-$seed.json"
    done
done
run_policy() { # KIT HOST DAY POLICY: prints the day, the policy, its G, and 1 if it kept the rules
    if [ "$4" = module ]; then
        out=$("$1/bin/lbsim" run "$3" --why "a drawn day" -- "$2" 2>&1) || true
    else
        out=$("$1/bin/lbsim" run "$3" --native "$4" 2>&1) || true
    fi
    g=$(sed -n 's/^G \([-0-9.]*\).*/\1/p' <<<"$out" | head -n 1)
    kept=$(grep -c 'rules kept, no fault' <<<"$out" || true)
    echo "$(basename "$3" .json) $4 ${g:-0} $kept"
}
export -f run_policy
for day in "$work"/days/*.json; do
    for policy in module "${policies[@]}"; do
        printf '%s\0%s\0' "$day" "$policy"
    done
done | xargs -0 -n 2 -P "$(nproc)" bash -c 'run_policy "$@"' _ "$kit" "$host" | sort |
    awk '{ g[$1, $2] = $3; kept[$1, $2] = $4; sum[$2] += $3; n[$2]++; days[$1] = 1; if (!$4) broke[$2]++ }
         END { for (p in sum) printf "%-22s %.3f  rules broken on %d of %d days\n", p, sum[p] / n[p], broke[p], n[p] | "sort -k2 -nr"
               close("sort -k2 -nr")
               print ""
               for (d in days) { k = d; sub(/-[0-9]+$/, "", k); of[k] += g[d, "module"]; many[k]++ }
               for (k in of) printf "%-22s %.3f  over %d days\n", k, of[k] / many[k], many[k] | "sort"
               close("sort")
               print ""
               for (d in days) {
                   best = ""
                   for (p in sum) if (p != "module" && kept[d, p] && (best == "" || g[d, p] > g[d, best])) best = p
                   bad = ""
                   if (!kept[d, "module"]) bad = "  RULE"
                   if (("random" in sum) && g[d, "module"] < g[d, "random"]) bad = bad "  BELOW RANDOM"
                   if (bad != "") failed = 1
                   printf "%-24s module %.3f  random %.3f  best %.3f %s%s\n", d, g[d, "module"], g[d, "random"], best == "" ? 0 : g[d, best], best == "" ? "(none kept the rules)" : best, bad | "sort"
               }
               close("sort")
               exit failed }'
