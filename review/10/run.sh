#!/bin/sh
# Drives the program of the deploy file's `sim` command through one pipe. A simulated router is killed and born again in the
# batch that also has its requests. Exits with 1 if the killed one acts, 0 if not, 2 if the case could not run. With TROUBLE=0
# the kill comes in a batch of its own, after the requests are answered.
cd "$(dirname "$0")/../.." || exit 2
folder=review/10
record=$folder/record.txt
[ -x target/release/tallypin-simhost ] || { echo "run the build of the deploy file" >&2; exit 2; }
command=$(sed -n 's/^sim = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$command" ] || exit 2

REQUESTS=20
FIRST_REF=2554927284654500
BATCH_NS=4000000

settings='{"Clients":{"MarksRetry":true},"Discovery":"on_request","Family":"llm","FamilyInfo":{"AimUsPer1000PromptTokens":[60000.0],"Resume":true,"TokenAimNs":[80000000]},"Kinds":["gpu-neu"],"Limits":{"Cancel":true,"ConnectTimeoutNs":150000000,"IdleCloseNs":5000000000,"MaxRetryAfterNs":2000000000,"MostHeld":32393,"ParallelTries":true,"Peers":true,"Probes":true,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":4},"Me":0,"MyZone":0,"Profiles":[{"DeadlineNs":4000000000,"Effect":"pure","GoalTimeNs":1200000000,"Group":"all","LateShare":0.2,"Name":"chat","Stream":true,"WindowNs":5000000000,"Worth":2.0}],"ReplicasOfMe":1,"Report":{"Fields":["q"],"Via":"answers"},"ResolutionNs":4000000,"Rules":{"AnswerSlackNs":16000000,"ColdNs":23000000000,"ColdShare":0.15,"DrainGraceNs":500000000,"FallMultiple":2.5,"FallNs":2000000000,"MustAskInNs":10000000000},"Tenants":[{"Fraction":1.0,"Name":"haendlerbund","QuotaPerS":190.0}],"Zones":["rz-garching"]}'

now=8000000000
batch() {
    now=$((now + BATCH_NS))
    echo "BATCH WallNs=$now"
}
born() {
    echo "BORN Who=gateway-3 Nonce64=$1 ProfileData=$settings"
    echo "BACKENDS_CHANGED Who=gateway-3 Form=2 Revision=41 RowsIn=2"
    echo "M Rating=1 Status=1 Replica=10.18.74.7:5003 FailureDomain=0 ClassOfHost=0 Stripe=0"
    echo "M Rating=1 Status=1 Replica=10.144.17.242:5044 FailureDomain=0 ClassOfHost=0 Stripe=0"
}
input() {
    batch; born 1; echo FLUSH
    number=0
    while [ $number -lt $REQUESTS ]; do
        number=$((number + 1))
        batch
        echo "DEMAND Who=gateway-3 Ref=$((FIRST_REF + number)) Kind=0 LeftNs=4000000000 NPrompt=1800 UserGroup=0 NMax=256"
        [ "${TROUBLE:-1}" = 0 ] && { echo FLUSH; batch; }
        echo "KILLED Who=gateway-3"
        born $((number + 1))
        echo FLUSH
    done
}

events=$(mktemp) replies=$(mktemp)
trap 'rm -f "$events" "$replies"' EXIT
input >"$events"
/bin/sh -c "$command" <"$events" >"$replies" || { echo "the program failed" >"$record"; exit 2; }

# Pairs each reply with its batch. An action on a request breaks the rule if the router was born in this batch after it got the
# request: the new instance has not been given it.
awk -v record="$record" '
    FNR == NR {
        if ($1 == "BATCH") { batches++; given[batches] = ""; reborn[batches] = 0 }
        if ($1 == "DEMAND") { match($0, /Ref=[0-9]+/); given[batches] = substr($0, RSTART, RLENGTH) }
        if ($1 == "KILLED" && given[batches] != "") reborn[batches] = 1
        line = $0; sub(/ProfileData=.*/, "ProfileData=...", line); sent[batches] = sent[batches] "  > " line "\n"
        next
    }
    FNR == 1 { reply = 1; printf "" >record }
    { got[reply] = got[reply] "  < " $0 "\n" }
    /^(ISSUE|REJECT|LOSE|REVOKE) / { if (reborn[reply] && index($0, given[reply] " ") + index($0 "\n", given[reply] "\n")) stale++ }
    /^END$/ { printf "batch %d\n%s%s", reply, sent[reply], got[reply] >>record; reply++ }
    END {
        if (reply != batches + 1) { print "replies missing: " reply - 1 " of " batches >>record; exit 2 }
        print stale + 0 " actions of killed instances, in " batches " batches" >>record
        exit stale > 0
    }' "$events" "$replies"
code=$?
echo "exit $code" >>"$record"
echo "exit $code, see $record"
exit $code
