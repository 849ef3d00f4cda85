//! Compares the program's outputs for operators and load balancers byte for byte with recorded ones: help, checks of
//! configurations and settings, exit codes for invalid input, operator commands, and health answers of every protocol.
#![allow(missing_docs)]

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use bytes::{Bytes, BytesMut};
use recorded::{hex, mask_number, Recording};
use tallypin_test_support::mock_services::ReservedAddress;

const CONFIG: &str = include_str!("../../examples/config.json");
const TWO_ZONES: &str = include_str!("../../examples/two-zones.json");
const TALLYPIN_CONF: &str = include_str!("../../deploy/tallypin.conf");
const FLEET_CONF: &str = include_str!("../../deploy/fleet.conf");
const LOGS_CONF: &str = include_str!("../../deploy/logs.conf");

fn recording(name: &str) -> Recording {
    Recording::new(env!("CARGO_MANIFEST_DIR"), "operations", name)
}

/// A temporary working directory of the program with the shipped configurations and settings, named without a path.
struct TestDirectory(tempfile::TempDir);

impl TestDirectory {
    fn new() -> TestDirectory {
        let directory = TestDirectory(tempfile::tempdir().unwrap());
        directory.write("config.json", CONFIG);
        directory.write("two-zones.json", TWO_ZONES);
        directory.write("tallypin.conf", TALLYPIN_CONF);
        directory.write("fleet.conf", FLEET_CONF);
        directory.write("logs.conf", LOGS_CONF);
        directory
    }

    fn path(&self) -> &Path {
        self.0.path()
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path().join(name), text).unwrap();
    }

    fn command(&self, config: Option<&str>, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
        command.env_clear().current_dir(self.path()).args(args).stdin(Stdio::null());
        config.map(|file| command.env("PROXY_CONFIG", file));
        command
    }

    /// Exit code, output and error output of one run in this directory.
    fn run(&self, config: Option<&str>, args: &[&str]) -> String {
        run_to_end(&mut self.command(config, args))
    }
}

fn run_to_end(command: &mut Command) -> String {
    let output = command.output().unwrap();
    let (stdout, stderr) =
        (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    format!("exit {:?}\n--- stdout\n{stdout}--- stderr\n{stderr}", output.status.code())
}

#[test]
fn help_matches_the_recording() {
    let (directory, mut recording) = (TestDirectory::new(), recording("help.txt"));
    let topics =
        ["", "serve", "check", "health", "ctl", "fleet", "settings", "version", "help", "fleat", "drain"];
    for topic in topics {
        let args: Vec<&str> = ["help", topic].into_iter().filter(|arg| !arg.is_empty()).collect();
        recording.case(&args.join(" "), &directory.run(None, &args));
    }
    for args in [&["--help"][..], &["-h"], &["serve", "--help"], &["ctl", "-h"], &["fleet", "--help"]] {
        recording.case(&args.join(" "), &directory.run(None, args));
    }
    recording.finish();
}

#[test]
fn checks_of_the_shipped_files_match_the_recording() {
    let (directory, mut recording) = (TestDirectory::new(), recording("check.txt"));
    for config in ["config.json", "two-zones.json"] {
        recording.case(&format!("{config}: check"), &directory.run(Some(config), &["check"]));
        for settings in ["tallypin.conf", "fleet.conf", "logs.conf"] {
            for args in
                [&["check", "--settings", settings][..], &["check", "--settings", settings, "--print"]]
            {
                recording.case(&format!("{config}: {}", args.join(" ")), &directory.run(Some(config), args));
            }
        }
    }
    recording.finish();
}

#[test]
fn answers_to_command_lines_match_the_recording() {
    let (directory, mut recording) = (TestDirectory::new(), recording("command_lines.txt"));
    let lines = "\n\
        dance\nserv\nhelp helth\n--verbose\n-x\nserve extra\nserve --print\nserve --settings\nserve --settings nowhere.conf\n\
        serve --messages m.toml\ncheck --messages m.toml\ncheck --print\ncheck --settings nowhere.conf\n\
        check --settings tallypin.conf extra\nhealth\nhealth --at here\nhealth --at 127.0.0.1\nhealth --at\n\
        health --at 127.0.0.1:9 --protocol icmp\nhealth --at 127.0.0.1:9 --timeout 0ms\n\
        health --at 127.0.0.1:9 --timeout 11m\nhealth --at 127.0.0.1:9 --timeout soon\n\
        health --at 127.0.0.1:9 --service a|b\nhealth --at 127.0.0.1:9 --service a%20b\nhealth --at 127.0.0.1:9 --path /a%20b\n\
        health --at 127.0.0.1:9 --weight\nctl\nctl show\nctl --socket nowhere\nctl --socket nowhere show\n\
        ctl --socket nowhere shw\nctl --socket nowhere drain start\nctl --socket nowhere weight\n\
        ctl --socket nowhere weight 0%\nctl --socket nowhere weight 101%\nctl --socket nowhere weight 50\n\
        ctl --socket nowhere weight +5%\nctl --socket nowhere --id x show\nfleet\nfleet status\nfleet watch\n\
        fleet --socket nowhere\nfleet --socket nowhere status\nfleet --socket nowhere drain\n\
        fleet --socket nowhere take-out\nfleet --socket nowhere take-out s1 for\nfleet --socket nowhere take-out s1 for ever\n\
        fleet --socket nowhere put-back\nfleet --socket nowhere release\nfleet --socket nowhere release nowhere.conf\n\
        fleet --socket nowhere release a b\nfleet --socket nowhere dance\nfleet --socket nowhere --id a%20b halt\n\
        fleet --socket nowhere --id 7 resume now\nversion extra\nversion\n-V\n--version\n";
    for line in lines.lines() {
        let words: Vec<String> =
            line.split(' ').filter(|word| !word.is_empty()).map(|word| word.replace("%20", " ")).collect();
        let args: Vec<&str> = words.iter().map(String::as_str).collect();
        recording.case(&format!("tallypin {line}"), &directory.run(Some("config.json"), &args));
    }
    recording.case("check without PROXY_CONFIG", &directory.run(None, &["check"]));
    recording.case("serve without PROXY_CONFIG", &directory.run(None, &["serve"]));
    recording.case("check of no file", &directory.run(Some("nowhere.json"), &["check"]));
    for (name, value) in [("PROXY_LISTEN", "here"), ("PROXY_DISCOVERY", "127.0.0.1"), ("PROXY_NAME", "n7")] {
        let mut command = directory.command(Some("config.json"), &["check"]);
        recording.case(&format!("check with {name}={value}"), &run_to_end(command.env(name, value)));
    }
    recording.finish();
}

/// Changes of the example configuration: text to replace, and its replacement. Most make the configuration invalid.
const CONFIGURATION_CHANGES: [(&str, &str); 67] = [
    ("{", ""),
    ("  }\n}\n", "  }\n"),
    ("\"name\": \"n1\",", ""),
    ("\"name\": \"n1\"", "\"name\": 1"),
    ("\"listen\": \"127.0.0.1:5000\",", ""),
    ("\"127.0.0.1:5000\"", "\"127.0.0.1\""),
    ("\"discovery\"", "\"discovered\""),
    ("\"127.0.0.1:8500\"", "\"localhost:8500\""),
    ("\"seed\": \"8c1f30d27a5be964\",", ""),
    ("8c1f30d27a5be964", "8c1f30d27a5be9640"),
    ("8c1f30d27a5be964", "seed"),
    ("8c1f30d27a5be964", ""),
    ("\"memory_mb\": 192", "\"memory_mb\": 15"),
    ("\"memory_mb\": 192", "\"memory_mb\": -1"),
    ("\"memory_mb\": 192", "\"memory\": 192"),
    ("\"sockets\": 1024", "\"sockets\": 63"),
    ("\"sockets\": 1024", "\"sockets\": \"many\""),
    ("\"peers\": []", "\"peers\": [\"here\"]"),
    ("\"peers\": []", "\"peers\": [], \"peer_listen\": 7"),
    ("\"peers\": []", "\"peers\": [], \"peers_all\": \"x\""),
    ("\"peers\": []", "\"known\": {\"version\": 1}"),
    ("\"peers\": []", "\"known\": {\"servers\": []}"),
    ("\"peers\": []", "\"known\": {\"version\": 1, \"servers\": [{\"id\": \"a\", \"state\": \"active\"}]}"),
    ("\"peers\": []", "\"known\": {\"version\": 1, \"servers\": [{\"id\": \"a\", \"addr\": \"x\", \"state\": \"active\"}]}"),
    ("\"peers\": []", "\"known\": {\"version\": 1, \"servers\": [{\"id\": \"a\", \"addr\": \"1.2.3.4:5\", \"state\": \"new\"}]}"),
    ("\"peers\": []", "\"known\": {\"version\": -1, \"servers\": []}"),
    ("\"settings\"", "\"setting\""),
    ("\"settings\": {", "\"settings\": [{"),
    ("\"Discovery\": \"on_request\"", "\"Discovery\": 1"),
    ("\"Discovery\": \"on_request\"", "\"Discovery\": \"whenever\""),
    ("[60000.0, 30000.0]", "[60000.0, \"x\"]"),
    ("[60000.0, 30000.0]", "60000.0"),
    ("\"Resume\": true", "\"Resume\": 1"),
    ("\"Kinds\": [\"gpu-neu\", \"gpu-alt\"]", "\"Kinds\": [1]"),
    ("\"Cancel\": true", "\"Cancel\": \"yes\""),
    ("\"ConnectTimeoutNs\": 150000000", "\"ConnectTimeoutNs\": -1"),
    ("\"IdleCloseNs\": 5000000000", "\"IdleCloseNs\": 1.5"),
    ("\"MostHeld\": 1000", "\"MostHeld\": null"),
    ("\"TryLimit\": 4", "\"TryLimit\": 0"),
    ("\"TryLimit\": 4", "\"TryLimit\": 4294967296"),
    ("\"Me\": 0", "\"Me\": \"zero\""),
    ("\"Me\": 0", "\"Me\": 1"),
    ("\"MyZone\": 0", "\"MyZone\": 1"),
    ("\"MyZone\": 0", "\"MyZone\": -1"),
    ("\"ReplicasOfMe\": 1", "\"ReplicasOfMe\": 0"),
    ("\"Profiles\": [", "\"Profiles\": [], \"Unused\": ["),
    ("\"Name\": \"chat\"", "\"Name\": \"\""),
    ("\"Name\": \"belege\"", "\"Name\": \"chat\""),
    ("\"DeadlineNs\": 6000000000", "\"DeadlineNs\": 0"),
    ("\"GoalTimeNs\": 1500000000", "\"GoalTimeNs\": 0"),
    ("\"GoalTimeNs\": 1500000000", "\"GoalTimeNs\": \"1500 ms\""),
    ("\"Worth\": 5.0", "\"Worth\": -1"),
    ("\"Worth\": 5.0", "\"Worth\": 5, \"LateShare\": 1.5"),
    ("\"Worth\": 5.0", "\"Worth\": 5, \"LateShare\": -0.5"),
    ("\"Worth\": 5.0", "\"Worth\": 5, \"Effect\": \"pure\""),
    ("\"Effect\": \"pure\", \"GoalTimeNs\": 1500000000", "\"Effect\": \"unheard-of\", \"GoalTimeNs\": 1500000000"),
    ("\"Fields\": [\"fail_rate\", \"lat_ms\", \"q\"]", "\"Fields\": \"q\""),
    ("\"ColdShare\": 0.15", "\"ColdShare\": 1.15"),
    ("\"ColdShare\": 0.15", "\"ColdShare\": 0.15, \"FallMultiple\": -2"),
    ("\"ColdNs\": 23000000000", "\"ColdNs\": \"23 s\""),
    ("\"MustAskInNs\": 10000000000", "\"MustAskInNs\": -1"),
    ("\"Me\": 0,", "\"Me\": 0, \"Prices\": {\"CrossZone\": -0.1},"),
    ("\"Name\": \"grenzstellen\"", "\"Name\": \"haendlerbund\""),
    ("\"Name\": \"grenzstellen\"", "\"Name\": \"\""),
    ("\"QuotaPerS\": 5.0", "\"QuotaPerS\": 0"),
    ("\"QuotaPerS\": 5.0", "\"QuotaPerS\": \"five\""),
    ("\"Zones\": [\"rz-garching\"]", "\"Zones\": \"rz-garching\""),
];

#[test]
fn checks_of_changed_configurations_match_the_recording() {
    let (directory, mut recording) = (TestDirectory::new(), recording("configurations.txt"));
    for (from, to) in CONFIGURATION_CHANGES {
        assert!(CONFIG.contains(from), "{from}");
        directory.write("bad.json", &CONFIG.replacen(from, to, 1));
        recording.case(&format!("{from:?} -> {to:?}"), &directory.run(Some("bad.json"), &["check"]));
    }
    directory.write("bad.json", &CONFIG.replacen("\"Me\": 0", "\"Me\": \"zero\"", 1));
    recording.case("serve", &directory.run(Some("bad.json"), &["serve"]));
    directory.write("few.json", &CONFIG.replacen("\"sockets\": 1024", "\"sockets\": 64", 1));
    let args = ["check", "--settings", "tallypin.conf"];
    recording.case("descriptors for checks leave none for clients", &directory.run(Some("few.json"), &args));
    recording.finish();
}

/// Titles and texts of settings, most of them invalid, for every section.
const SETTINGS_CASES: &[(&str, &str)] = &[
    ("log level", "log {\n level loud\n}\n"),
    ("log target", "log {\n target nobody info\n}\n"),
    ("log target without a level", "log {\n target checks\n}\n"),
    ("log form", "log {\n form xml\n}\n"),
    ("log queue", "log {\n queue 15\n}\n"),
    ("log unknown", "log {\n levl info\n}\n"),
    ("log twice", "log {\n}\nlog {\n}\n"),
    ("messages empty", "messages {\n}\n"),
    ("messages listen", "messages {\n listen 127.0.0.1\n nodes chat\n partner-header x\n model a chat\n}\n"),
    ("messages nodes", "messages {\n listen 127.0.0.1:1\n nodes talk\n partner-header x\n model a chat\n}\n"),
    ("messages header", "messages {\n listen 127.0.0.1:1\n nodes chat\n partner-header \"a b\"\n model a chat\n}\n"),
    ("messages class", "messages {\n listen 127.0.0.1:1\n nodes chat\n partner-header x\n model a chatt\n}\n"),
    ("messages partner", "messages {\n listen 127.0.0.1:1\n nodes chat\n partner-header x\n model a chat\n partner b c\n}\n"),
    (
        "messages partner-otherwise",
        "messages {\n listen 127.0.0.1:1\n nodes chat\n partner-header x\n model a chat\n partner-otherwise nobody\n}\n",
    ),
    ("messages no model", "messages {\n listen 127.0.0.1:1\n nodes chat\n partner-header x\n}\n"),
    ("checks empty", "checks {\n}\n"),
    ("checks budget", "checks {\n budget 0ms\n agent {\n listen 127.0.0.1:1\n }\n}\n"),
    ("checks connections", "checks {\n connections 3\n agent {\n listen 127.0.0.1:1\n }\n}\n"),
    ("checks report", "checks {\n report xml\n agent {\n listen 127.0.0.1:1\n }\n}\n"),
    ("checks envoy", "checks {\n envoy yes\n agent {\n listen 127.0.0.1:1\n }\n}\n"),
    ("agent without listen", "checks {\n agent {\n }\n}\n"),
    ("agent send-wait", "checks {\n agent {\n listen 127.0.0.1:1\n send-wait 2h\n }\n}\n"),
    ("agent maxconn", "checks {\n agent {\n listen 127.0.0.1:1\n maxconn 7\n }\n}\n"),
    ("http path", "checks {\n http {\n listen 127.0.0.1:1\n paths healthz /b\n }\n}\n"),
    ("http drain that means well", "checks {\n http {\n listen 127.0.0.1:1\n drain 200\n}\n}\n"),
    ("http down that means well", "checks {\n http {\n listen 127.0.0.1:1\n down 302\n maint 399\n}\n}\n"),
    ("http status", "checks {\n http {\n listen 127.0.0.1:1\n degraded 600\n}\n}\n"),
    ("http method", "checks {\n http {\n listen 127.0.0.1:1\n methods\n}\n}\n"),
    ("grpc watches", "checks {\n grpc {\n listen 127.0.0.1:1\n watches 0\n}\n}\n"),
    ("grpc reports", "checks {\n grpc {\n listen 127.0.0.1:1\n report-least soon\n}\n}\n"),
    ("health step", "health {\n step 120%\n}\n"),
    ("health every", "health {\n every 0ms\n}\n"),
    ("health band", "health {\n band 21%\n}\n"),
    ("health failures", "health {\n failures none\n}\n"),
    ("health unit", "health {\n dwell 2\n}\n"),
    ("health node-room", "health {\n node-room 100001\n}\n"),
    ("drain most", "drain {\n most 0s\n}\n"),
    ("drain times", "drain {\n times 21\n}\n"),
    ("drain askers", "drain {\n askers -1\n}\n"),
    ("drain twice", "drain {\n most 1s\n most 2s\n}\n"),
    ("control empty", "control {\n}\n"),
    ("control mode", "control {\n socket /run/x\n mode 999\n}\n"),
    ("control socket", "control {\n socket\n}\n"),
    ("proxy-protocol without from", "proxy-protocol {\n platform on\n}\n"),
    ("proxy-protocol network", "proxy-protocol {\n from 10.0.0.0/33\n}\n"),
    ("proxy-protocol within", "proxy-protocol {\n from 10.0.0.0/8\n within 0ms\n}\n"),
    ("fleet empty", "control {\n socket /run/x\n}\nfleet {\n}\n"),
    ("fleet not closed", "fleet {\n name a\n"),
    ("unknown section", "checkss {\n}\n"),
    ("section as directive", "checks on\n"),
    ("directive at the top", "level info\n"),
    ("brace too many", "log {\n}\n}\n"),
    ("brace on a line of its own", "log\n{\n}\n"),
    ("open quote", "log {\n level \"info\n}\n"),
    ("include of nothing", "include nowhere.conf\n"),
    ("include of itself", "include bad.conf\n"),
    ("include without a file", "include\n"),
    ("several at once", "log {\n level loud\n}\nhealth {\n step 120%\n floor x\n}\ndrian {\n}\n"),
    ("empty file", ""),
];

/// Changes of the shipped fleet settings: text to replace, and its replacement.
const FLEET_SETTINGS_CHANGES: [(&str, &str); 24] = [
    ("    name muenchen-nord\n", ""),
    ("me r1", "me r9"),
    ("    me r1\n", ""),
    ("    key /etc/tallypin/fleet.key\n", ""),
    ("router r2 127.0.0.2:9101", "router r1 127.0.0.2:9101"),
    ("router r2 127.0.0.2:9101", "router r2 127.0.0.1:9101"),
    ("router r2 127.0.0.2:9101 rz-garching", "router r2 127.0.0.2 rz-garching"),
    ("router r2 127.0.0.2:9101 rz-garching", "router r2 127.0.0.2:9101"),
    ("council r1 r2 r3", "council r1 r2"),
    ("council r1 r2 r3", "council r1 r2 r4"),
    ("council r1 r2 r3", "council r1 r2 r2"),
    ("council r1 r2 r3", "council"),
    ("out-most 1", "out-most 0"),
    ("out-most 1", "out-most many"),
    ("out-most 1", "out-most 101%"),
    ("    out-most 1\n", ""),
    ("out-zone 1", "out-zone -1"),
    ("nodes-out-most 10%", "nodes-out-most x"),
    ("    store /var/lib/tallypin/fleet\n", ""),
    ("release configuration", "release papers"),
    ("/etc/tallypin/config.json /etc/tallypin/store", "/etc/tallypin/config.json"),
    ("    name muenchen-nord\n", "    name muenchen-nord\n    beat 10s\n    silent 3s\n"),
    ("    name muenchen-nord\n", "    name muenchen-nord\n    lease 500ms\n    answer 1s\n"),
    ("control {\n    socket /run/tallypin/ctl\n}\n", ""),
];

#[test]
fn checks_of_invalid_settings_match_the_recording() {
    let (directory, mut recording) = (TestDirectory::new(), recording("settings.txt"));
    let check = ["check", "--settings", "bad.conf"];
    for (title, text) in SETTINGS_CASES {
        directory.write("bad.conf", text);
        recording.case(title, &directory.run(Some("config.json"), &check));
    }
    for (from, to) in FLEET_SETTINGS_CHANGES {
        assert!(FLEET_CONF.contains(from), "{from}");
        directory.write("bad.conf", &FLEET_CONF.replacen(from, to, 1));
        recording.case(&format!("fleet: {from:?} -> {to:?}"), &directory.run(Some("config.json"), &check));
    }
    directory.write("bad.conf", "health {\n step 120%\n}\n");
    recording.case("serve", &directory.run(Some("config.json"), &["serve", "--settings", "bad.conf"]));
    directory.write("shop.conf", "log {\n level debug\n}\ninclude more.conf\n");
    directory.write("more.conf", "health {\n step 120%\n}\n");
    recording.case(
        "in an included file",
        &directory.run(Some("config.json"), &["check", "--settings", "shop.conf"]),
    );
    recording.finish();
}

/// A running router with one known replica or none, health checks of every protocol and a control socket.
struct RunningRouter {
    child: Child,
    directory: TestDirectory,
    front: SocketAddr,
    agent: SocketAddr,
    http: SocketAddr,
    grpc: SocketAddr,
    _reserved: [ReservedAddress; 5],
}

impl Drop for RunningRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl RunningRouter {
    /// Starts a router at an address used by this test alone. Its health settings make weight and state change at once.
    fn start(ip: &str, has_replica: bool, extra_checks: &str) -> RunningRouter {
        let directory = TestDirectory::new();
        let reserved = [(); 5].map(|()| ReservedAddress::on(ip).unwrap());
        let [front, agent, http, grpc, replica] = [0, 1, 2, 3, 4].map(|index: usize| reserved[index].addr);
        let endpoint = format!(r#"{{"id": "s-0", "addr": "{replica}", "state": "active"}}"#);
        let known_list = format!(
            r#""known": {{"version": 1, "full": true, "servers": [{}]}},"#,
            if has_replica { &endpoint } else { "" }
        );
        directory.write("config.json", &CONFIG.replacen("{", &format!("{{ {known_list}"), 1));
        let settings = format!(
            "checks {{\n budget 10s\n {extra_checks}\n agent {{\n listen {agent}\n maxconn on\n}}\n http {{\n listen {http}\n drain 404\n}}\n \
             grpc {{\n listen {grpc}\n}}\n}}\n\
             messages {{\n listen {ip}:0\n nodes chat\n model a chat\n partner-header x\n}}\n\
             control {{\n socket ctl\n}}\n\
             health {{\n every 2ms\n slow-start 0ms\n dwell 0ms\n smooth 1ms\n step 100%\n late 10m\n list-late 1h\n}}\n\
             drain {{\n least 1ms\n most 1h\n settle 1ms\n parting 1ms\n unknown-interval 1h\n longest-interval 1h\n}}\n",
        );
        directory.write("t.conf", &settings);
        let mut command = directory.command(Some("config.json"), &["serve", "--settings", "t.conf"]);
        command
            .env("PROXY_LISTEN", front.to_string())
            .env("PROXY_DISCOVERY", "127.0.0.1:9")
            .stderr(Stdio::null());
        let child = command.spawn().unwrap();
        let router = RunningRouter { child, directory, front, agent, http, grpc, _reserved: reserved };
        while TcpStream::connect(router.front).is_err() {
            std::thread::yield_now();
        }
        router
    }

    fn ctl(&self, command_line: &str) -> String {
        let args: Vec<&str> = ["ctl", "--socket", "ctl"].into_iter().chain(command_line.split(' ')).collect();
        let mut text = mask_measured(&self.directory.run(None, &args));
        for (before, name) in
            [("\"answered\":", "checks"), ("\"asked_ms_ago\":", "ago"), ("\"interval_ms\":", "interval")]
        {
            text = mask_number(&text, before, name);
        }
        text
    }

    /// Sends a line to the control socket and returns the answer.
    fn send_control_line(&self, line: &str) -> String {
        let mut stream = std::os::unix::net::UnixStream::connect(self.directory.path().join("ctl")).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn health(&self, at: SocketAddr, options: &[&str]) -> String {
        let text = at.to_string();
        let args: Vec<&str> = ["health", "--timeout", "10s", "--at", &text]
            .into_iter()
            .chain(options.iter().copied())
            .collect();
        self.directory.run(None, &args)
    }

    /// Sends these bytes, closes the write side, and returns the answer with measured values masked.
    fn exchange(&self, at: SocketAddr, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(bytes).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).unwrap();
        mask_measured(&String::from_utf8(answer).unwrap().replace('\r', "\\r"))
    }

    /// Waits until the agent check's answer begins with `start`.
    fn wait_for_agent_answer(&self, start: &str) {
        while !self.exchange(self.agent, b"\n").starts_with(start) {
            std::thread::yield_now();
        }
    }
}

/// Masks measured values: the thread's lateness, whether and how long the endpoint list has been silent, and the length of an
/// answer that contains one of them.
fn mask_measured(text: &str) -> String {
    let mut parts = text.split(" ms late");
    let mut masked = parts.next().unwrap_or("").to_string();
    for part in parts {
        masked.truncate(
            masked.trim_end_matches(|character: char| character.is_ascii_digit() || character == '.').len(),
        );
        masked += "<late> ms late";
        masked += part;
    }
    masked = mask_number(&masked, "silent for ", "silent");
    masked = masked.replace("silent for <silent> ms", "<list>").replace("followed", "<list>");
    match masked == text {
        true => masked,
        false => mask_number(&masked, "Content-Length: ", "length"),
    }
}

/// Control commands in the order in which they are sent, each with the text that `show` contains once it has taken effect.
const CONTROL_COMMANDS: [(&str, &str); 6] = [
    ("ready", "\"state\":\"up\""),
    ("weight 30%", "\"weight\":30"),
    ("drain", "\"state\":\"drain\""),
    ("maint", "\"state\":\"maint\""),
    ("ready", "\"state\":\"up\""),
    ("weight 100%", "\"weight\":100"),
];

#[test]
fn answers_to_control_commands_match_the_recording() {
    let mut recording = recording("orders.txt");
    let router = RunningRouter::start("127.2.8.1", true, "");
    wait_for_show(&router, "\"weight\":100");
    // One load balancer checks once: its interval is unknown, and the router remembers it for the whole test.
    recording.case("agent check", &router.exchange(router.agent, b"\n"));
    for (command, effect) in CONTROL_COMMANDS {
        recording.case(&format!("ctl {command}"), &router.ctl(command));
        recording.case(&format!("ctl show after {command}"), &wait_for_show(&router, effect));
    }
    for line in [
        "show",
        "",
        "\n",
        "shw\n",
        "weight 0%\n",
        "fleet status\n",
        "fleet\n",
        "weight 7%\n",
        "weight 100%\n",
    ] {
        recording.case(&format!("line {line:?}"), &router.send_control_line(line));
    }
    recording.case("a line of 300 bytes", &router.send_control_line(&format!("{}\n", "x".repeat(299))));
    recording.case(
        "a line to the fleet of 300 bytes",
        &router.send_control_line(&format!("fleet {}\n", "x".repeat(299))),
    );
    recording.case(
        "fleet status by the command",
        &router.directory.run(None, &["fleet", "--socket", "ctl", "status"]),
    );
    recording.case("drain end", &router.ctl("drain end"));
    recording.finish();
}

/// Waits until the output of `show` contains `effect` and no open clients, and returns it.
fn wait_for_show(router: &RunningRouter, effect: &str) -> String {
    loop {
        let output = router.ctl("show");
        if output.contains(effect) && output.contains("\"clients\":0,") {
            return output;
        }
    }
}

#[test]
fn health_answers_and_exit_codes_match_the_recording() {
    let mut recording = recording("health.txt");
    for (title, ip, has_replica) in [("a node", "127.2.8.2", true), ("no node", "127.2.8.3", false)] {
        let router = RunningRouter::start(ip, has_replica, "envoy on");
        if has_replica {
            router.wait_for_agent_answer("up ready 100% ");
        } else {
            // The cause is unknown until the first measurement, after a time that depends on the machine.
            wait_for_show(&router, "\"cause\":\"no model node takes work\"");
        }
        record_health(&mut recording, &router, title);
        if has_replica {
            router.ctl("weight 30%");
            router.wait_for_agent_answer("up ready 30% ");
            record_health(&mut recording, &router, "weight 30%");
            router.ctl("weight 100%");
            router.ctl("drain");
            router.wait_for_agent_answer("up drain\n");
            record_health(&mut recording, &router, "drain");
            router.ctl("maint");
            router.wait_for_agent_answer("stopped maint #in maintenance\n");
            record_health(&mut recording, &router, "maint");
        }
    }
    recording.finish();
}

fn record_health(recording: &mut Recording, router: &RunningRouter, state: &str) {
    for line in ["", "\n", "messages\n", "platform\n", "letters\n", "GET / HTTP/1.1\r\n\r\n"] {
        recording.case(&format!("{state}: agent {line:?}"), &router.exchange(router.agent, line.as_bytes()));
    }
    let requests = [
        "GET /livez",
        "GET /livez?verbose",
        "GET /readyz",
        "GET /readyz?verbose",
        "GET /healthz",
        "HEAD /healthz",
        "OPTIONS /healthz",
        "POST /healthz",
        "GET /health",
    ];
    for request in requests {
        let text = format!("{request} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        recording.case(&format!("{state}: http {request}"), &router.exchange(router.http, text.as_bytes()));
    }
    let json =
        "GET /healthz HTTP/1.1\r\nHost: r\r\nAccept: application/health+json\r\nConnection: close\r\n\r\n";
    recording.case(&format!("{state}: http health+json"), &router.exchange(router.http, json.as_bytes()));
    recording.case(&format!("{state}: http noise"), &router.exchange(router.http, b"noise\r\n\r\n"));
    let large = b"GET /healthz HTTP/1.1\r\nHost: r\r\nContent-Length: 5000\r\n\r\n";
    recording.case(&format!("{state}: http large body"), &router.exchange(router.http, large));
    let (agent, http, grpc) = (router.agent, router.http, router.grpc);
    for (at, args) in [
        (agent, &[][..]),
        (agent, &["--weight-exit"]),
        (agent, &["--service", "letters"]),
        (http, &["--protocol", "http"]),
        (http, &["--protocol", "http", "--weight-exit"]),
        (http, &["--protocol", "http", "--path", "/livez"]),
        (http, &["--protocol", "http", "--path", "/none"]),
        (grpc, &["--protocol", "grpc"]),
        (grpc, &["--protocol", "grpc", "--weight-exit"]),
    ] {
        recording.case(&format!("{state}: health {}", args.join(" ")), &router.health(at, args));
    }
    let unknown = router.health(grpc, &["--protocol", "grpc", "--service", "letters"]);
    let unknown = unknown.replace(&grpc.to_string(), "<address>");
    recording.case(&format!("{state}: health --protocol grpc --service letters"), &unknown);
    recording.case(
        &format!("{state}: health of nobody"),
        &router.directory.run(None, &["health", "--at", "127.0.0.1:9"]),
    );
    for (method, message) in [
        ("Check", &b"\0\0\0\0\0"[..]),
        ("Check", b"\0\0\0\0\x0a\x0a\x08messages"),
        ("Check", b"\0\0\0\0\x0a\x0a\x08platform"),
        ("Check", b"\0\0\0\0\x09\x0a\x07letters"),
        ("Check", b"\x01\0\0\0\0"),
        ("Check", b""),
        ("List", b"\0\0\0\0\0"),
        ("List", b"\x01\0\0\0\0"),
        ("Watch", b"\0\0\0\0\0"),
        ("Watch", b"\0\0\0\0\x09\x0a\x07letters"),
        ("Ask", b"\0\0\0\0\0"),
    ] {
        let answer =
            grpc_call(grpc, &format!("/grpc.health.v1.Health/{method}"), message, "application/grpc");
        recording.case(&format!("{state}: grpc {method} {}", hex(message)), &answer);
    }
    let plain = grpc_call(grpc, "/grpc.health.v1.Health/Check", b"", "text/plain");
    recording.case(&format!("{state}: grpc of another content type"), &plain);
    let reports = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics";
    recording.case(
        &format!("{state}: grpc load reports, not served"),
        &grpc_call(grpc, reports, b"\0\0\0\0\0", "application/grpc"),
    );
}

/// Makes a gRPC call. Returns the response head, the messages as hex digits, and the trailers; of a watch, which does not
/// end, only the head and the first message.
fn grpc_call(at: SocketAddr, path: &str, message: &[u8], content_type: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(at).await.unwrap();
        let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
        let connection_task = tokio::spawn(connection);
        let request = http::Request::post(format!("http://r{path}"))
            .header("content-type", content_type)
            .header("te", "trailers");
        let (response, mut body) = send.send_request(request.body(()).unwrap(), false).unwrap();
        body.send_data(Bytes::copy_from_slice(message), true).unwrap();
        let response = response.await.unwrap();
        let mut text = format!("{} {:?}\n", response.status(), sorted(response.headers()));
        let (mut body, mut bytes) = (response.into_body(), BytesMut::new());
        while let Some(data) = body.data().await {
            bytes.extend_from_slice(&data.unwrap());
            if path.ends_with("/Watch") {
                break;
            }
        }
        text += &format!("message {}\n", hex(&bytes));
        if !path.ends_with("/Watch") {
            let trailers = body.trailers().await.unwrap();
            text += &format!("trailers {:?}\n", trailers.as_ref().map(sorted));
        }
        connection_task.abort();
        text
    })
}

fn sorted(fields: &http::HeaderMap) -> Vec<(String, String)> {
    let mut sorted_fields: Vec<_> =
        fields.iter().map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_string())).collect();
    sorted_fields.sort();
    sorted_fields
}
