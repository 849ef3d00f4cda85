//! Configurations of routers, with settings like those of the operators' two deployments at their usual size.

use std::net::SocketAddr;

/// Configuration of router `me` of two, one in each zone, in the second organisation's deployment: lists are pushed, and
/// clients do not ask for the rest of a broken stream.
pub fn fvru_scripts(me: usize, addrs: &[SocketAddr], peers: &[SocketAddr], discovery: SocketAddr) -> String {
    let (listen, peer_listen) = (addrs[me], peers[me]);
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        r#"{{"name":"n{me}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{me}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "peer_listen":"{peer_listen}","peers":[{peers}],
 "settings":{{"Clients":{{"MarksRetry":true}},"Discovery":"pushed","Family":"llm",
  "FamilyInfo":{{"AimUsPer1000PromptTokens":[60000.0,30000.0,40000.0,30000.0],"Resume":false,
   "TokenAimNs":[50000000,100000000,80000000,100000000]}},
  "Kinds":["new-gpu","std-gpu","old-gpu"],
  "Limits":{{"Cancel":true,"ConnectTimeoutNs":250000000,"IdleCloseNs":30000000000,"MaxRetryAfterNs":2000000000,
   "MostHeld":10000,"ParallelTries":true,"Peers":true,"Probes":false,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":6}},
  "Me":{me},"MyZone":{me},
  "Profiles":[
   {{"DeadlineNs":4000000000,"Effect":"pure","GoalTimeNs":1200000000,"Group":"all","LateShare":0.0,"Name":"agent-chat","Stream":true,"Worth":2.0}},
   {{"DeadlineNs":1500000000,"Effect":"pure","GoalTimeNs":400000000,"Group":"all","LateShare":0.0,"Name":"line-suggest","Stream":true,"Worth":2.0}},
   {{"DeadlineNs":15000000000,"Effect":"pure","GoalTimeNs":3000000000,"Group":"all","LateShare":0.0,"Name":"script-batch","Stream":true,"Worth":2.0}},
   {{"DeadlineNs":5000000000,"Effect":"pure","GoalTimeNs":1500000000,"Group":"all","LateShare":0.0,"Name":"policy-lookup","Stream":true,"Worth":3.0}}],
  "ReplicasOfMe":2,"Report":{{"Fields":[],"Via":"none"}},"ResolutionNs":5000000,
  "Rules":{{"AnswerSlackNs":20000000,"ColdNs":8100000000,"ColdShare":0.31,"DrainGraceNs":2000000000,"FallMultiple":4.0,
   "FallNs":3000000000}},
  "Tenants":[{{"Fraction":0.33,"Name":"billing","QuotaPerS":13.0}},{{"Fraction":0.29,"Name":"water-ops","QuotaPerS":12.0}},
   {{"Fraction":0.22,"Name":"electric-ops","QuotaPerS":9.0}},{{"Fraction":0.16,"Name":"waste-pickup","QuotaPerS":6.0}}],
  "Weights":"rough","WorthBy":"request","Zones":["abbotsford","chilliwack"]}}}}"#,
        peers = peers.join(",")
    )
}

/// Configuration of the only router of the first deployment: lists are asked for, and clients ask for the rest of a stream.
pub fn muenchen_nord(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peers":[],
 "settings":{{"Clients":{{"MarksRetry":true}},"Discovery":"on_request","Family":"llm",
  "FamilyInfo":{{"AimUsPer1000PromptTokens":[60000.0,30000.0],"Resume":true,"TokenAimNs":[80000000,80000000]}},
  "Kinds":["gpu-neu","gpu-alt"],
  "Limits":{{"Cancel":true,"ConnectTimeoutNs":150000000,"IdleCloseNs":5000000000,"MaxRetryAfterNs":2000000000,
   "MostHeld":32393,"ParallelTries":true,"Peers":true,"Probes":true,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":4}},
  "Me":0,"MyZone":0,
  "Profiles":[
   {{"DeadlineNs":4000000000,"Effect":"pure","GoalTimeNs":1200000000,"Group":"all","LateShare":0.2,"Name":"chat","Stream":true,"Worth":2.0}},
   {{"DeadlineNs":6000000000,"Effect":"pure","GoalTimeNs":1500000000,"Group":"all","LateShare":0.3,"Name":"belege","Stream":true,"Worth":5.0}}],
  "ReplicasOfMe":1,"Report":{{"Fields":["fail_rate","lat_ms","q"],"Via":"answers"}},"ResolutionNs":4000000,
  "Rules":{{"AnswerSlackNs":16000000,"ColdNs":23000000000,"ColdShare":0.15,"DrainGraceNs":500000000,"FallMultiple":2.5,
   "FallNs":2000000000,"MustAskInNs":10000000000}},
  "Tenants":[{{"Fraction":0.62,"Name":"haendlerbund","QuotaPerS":19.0}},
   {{"Fraction":0.21,"Name":"flughafen-schalter","QuotaPerS":6.0}},{{"Fraction":0.17,"Name":"grenzstellen","QuotaPerS":5.0}}],
  "Weights":"none","WorthBy":"work","Zones":["rz-garching"]}}}}"#
    )
}
