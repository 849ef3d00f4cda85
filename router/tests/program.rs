//! Tests of the program as a process: command line, reload of configuration and settings, log, and graceful shutdown.
#![allow(missing_docs)]

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tallypin_test_support::fault_injection::Library;
use tallypin_test_support::mock_services::{MockReplica, ReservedAddress};

fn tallypin() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    command.env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Runs the command to its end. Returns its exit code and its output followed by its error output.
fn run_to_end(command: &mut Command) -> (Option<i32>, String) {
    let out = command.output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap())
}

#[test]
fn command_lines_give_the_expected_exit_code_and_output() {
    let dir = std::env::temp_dir().join(format!("tallypin-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let write = |name: &str, text: &str| {
        std::fs::write(dir.join(name), text).unwrap();
        dir.join(name)
    };
    let valid = write("good.json", include_str!("../../examples/config.json"));
    let invalid = write("bad.json", &common::CONFIG.replace("\"Me\": 0", "\"Me\": \"zero\""));
    let settings = write("t.conf", include_str!("../../deploy/tallypin.conf"));
    let settings = settings.to_str().unwrap();
    let invalid_settings =
        write("odd.conf", "messages {\n  lisen 127.0.0.1:1\n}\nhealth {\n  step 120%\n}\n");
    let version = format!("tallypin {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(run_to_end(tallypin().arg("version")), (Some(0), version));
    assert_eq!(run_to_end(tallypin().arg("--help")).0, Some(0));
    for (args, config, expected_code, expected_text) in [
        (&["check"][..], Some(&valid), 0, "n1: listens on 127.0.0.1:5000"),
        (&["check", "--settings", settings], Some(&valid), 0, "messages API on 127.0.0.1:8700"),
        (&["check", "--settings", settings, "--print"], Some(&valid), 0, "slow-start 10s"),
        (&["check", "--settings", "/nowhere"], Some(&valid), 2, "/nowhere cannot be read"),
        (
            &["check", "--settings", invalid_settings.to_str().unwrap()],
            Some(&valid),
            2,
            "2 |   lisen 127.0.0.1:1",
        ),
        (
            &["serve", "--settings", invalid_settings.to_str().unwrap()],
            Some(&valid),
            2,
            "a share from 0% to 100%",
        ),
        (&["check", "--messages", settings], Some(&valid), 2, "--messages was removed: use --settings FILE"),
        (&["check", "--print"], Some(&valid), 2, "check requires --settings FILE with --print"),
        (&["help", "health"], None, 0, "--weight-exit"),
        (&["ctl", "--help"], None, 0, "drain end"),
        (&["help", "settings"], None, 0, "slow-start"),
        (&["help", "helth"], None, 2, "did you mean `health`?"),
        (&["health", "--at", "127.0.0.1:9"], None, 1, "127.0.0.1:9: "),
        (&["health"], None, 2, "health requires --at ADDRESS"),
        (&["health", "--at", "127.0.0.1:9", "--service", "a b"], None, 2, "printable ASCII without spaces"),
        (&["ctl", "--socket", "/nowhere", "show"], None, 1, "/nowhere: "),
        (&["ctl", "--socket", "/nowhere", "weight", "0%"], None, 2, "from 1% to 100%"),
        (&["serve"], Some(&invalid), 2, "settings.Me: invalid type"),
        (&["serve"], None, 2, "PROXY_CONFIG: not set"),
        (&["dance"], None, 2, "unknown command `dance`"),
        (&[], None, 2, "no command given"),
    ] {
        let mut command = tallypin();
        command.args(args);
        config.map(|path| command.env("PROXY_CONFIG", path));
        let (actual_code, text) = run_to_end(&mut command);
        assert!(
            actual_code == Some(expected_code) && text.contains(expected_text),
            "{args:?}: {actual_code:?} {text}"
        );
    }
    let bad_address =
        run_to_end(tallypin().arg("serve").env("PROXY_CONFIG", &valid).env("PROXY_LISTEN", "here"));
    assert!(bad_address.0 == Some(2) && bad_address.1.contains("PROXY_LISTEN"), "{bad_address:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Guards against a SIGTERM that kills the program, or is lost, before it listens. The signal arrives while the system refuses
/// sockets to the program.
#[test]
fn a_sigterm_before_the_listener_is_bound_shuts_down_gracefully() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let reserved = ReservedAddress::on("127.2.2.7").unwrap();
    let path = dir.path().join("config.json");
    std::fs::write(&path, include_str!("../../examples/config.json")).unwrap();
    let mut serve = tallypin();
    serve.arg("serve").env("PROXY_CONFIG", &path).env("PROXY_LISTEN", reserved.addr.to_string());
    serve.env("PROXY_DISCOVERY", "127.0.0.1:9").env("LD_PRELOAD", &library).env("FAULT_FIRST", "60");
    let mut child = serve.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut wait_for_line =
        |text: &str| lines.by_ref().map(Result::unwrap).find(|line| line.contains(text)).expect(text);
    wait_for_line("socket not available yet, retrying");
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(status.success());
    wait_for_line("shutdown begun");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Guards against a missing SIGHUP handler: the signal's default action ends the process.
#[test]
fn sighup_reloads_the_configuration_and_sigterm_exits_with_code_0() {
    // The port is reserved by the test because the program does not report a port that the system chose.
    let reserved = ReservedAddress::on("127.2.2.1").unwrap();
    let listen = reserved.addr;
    let path = std::env::temp_dir().join(format!("tallypin-term-{}.json", std::process::id()));
    let valid = include_str!("../../examples/config.json");
    std::fs::write(&path, valid).unwrap();
    let mut serve = tallypin();
    serve.arg("serve").env("PROXY_CONFIG", &path).env("PROXY_LISTEN", listen.to_string());
    let mut child = serve.env("PROXY_DISCOVERY", "127.0.0.1:9").spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut wait_for_line =
        |text: &str| lines.by_ref().map(Result::unwrap).find(|line| line.contains(text)).expect(text);
    wait_for_line(&listen.to_string());
    let signal = |name: &str| {
        let status = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
        assert!(status.success());
    };
    std::fs::write(&path, valid.replace("\"discovery\"", "\"discovered\"")).unwrap();
    signal("-HUP");
    assert!(
        wait_for_line("discovery: missing field").contains("configuration rejected, the running one is kept")
    );
    std::fs::write(&path, valid.replace("\"n1\"", "\"n2\"")).unwrap();
    signal("-HUP");
    wait_for_line("configuration changed: takes effect after a restart field=\"name\"");
    // The address comes from the file, not from the environment variable that applied at the start.
    wait_for_line("configuration reloaded endpoint_list=127.0.0.1:8500 moved=true");
    let mut client = TcpStream::connect(listen).unwrap();
    client.write_all(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").unwrap();
    let mut status = [0; 12];
    client.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 503", "no replica is known");
    for name in ["-HUP", "-TERM", "-HUP"] {
        signal(name);
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(&path).unwrap();
}

/// A running router with settings, and the addresses of its front and its agent check listener.
struct RunningRouter {
    child: std::process::Child,
    dir: std::path::PathBuf,
    front: std::net::SocketAddr,
    agent: std::net::SocketAddr,
    _reserved: [ReservedAddress; 2],
}

impl Drop for RunningRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl RunningRouter {
    fn start(name: &str, ip: &str, extra_settings: &str) -> RunningRouter {
        let dir = std::env::temp_dir().join(format!("tallypin-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let reserved = [ReservedAddress::on(ip).unwrap(), ReservedAddress::on(ip).unwrap()];
        let [front, agent] = [reserved[0].addr, reserved[1].addr];
        let (config, settings) = (dir.join("config.json"), dir.join("t.conf"));
        std::fs::write(&config, include_str!("../../examples/config.json")).unwrap();
        std::fs::write(&settings, RunningRouter::settings(agent, &dir, extra_settings)).unwrap();
        let mut command = tallypin();
        command.arg("serve").arg("--settings").arg(&settings).env("PROXY_CONFIG", &config);
        command.env("PROXY_LISTEN", front.to_string()).env("PROXY_DISCOVERY", "127.0.0.1:9");
        let router =
            RunningRouter { child: command.spawn().unwrap(), dir, front, agent, _reserved: reserved };
        while TcpStream::connect(front).is_err() {
            std::thread::yield_now();
        }
        router
    }

    fn settings(agent: std::net::SocketAddr, dir: &std::path::Path, extra_settings: &str) -> String {
        let socket = dir.join("ctl");
        format!(
            "checks {{\n agent {{\n listen {agent}\n}}\n}}\ncontrol {{\n socket {}\n}}\n\
             drain {{\n least 1ms\n settle 1ms\n parting 1ms\n unknown-interval 1ms\n}}\n{extra_settings}",
            socket.display()
        )
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    fn ctl(&self, command_line: &str) -> (Option<i32>, String) {
        run_to_end(
            tallypin().arg("ctl").arg("--socket").arg(self.dir.join("ctl")).args(command_line.split(' ')),
        )
    }

    fn health(&self, options: &[&str]) -> (Option<i32>, String) {
        run_to_end(tallypin().args(["health", "--at", &self.agent.to_string()]).args(options))
    }
}

#[test]
fn sighup_reloads_the_settings_and_drain_end_stops_the_program() {
    let mut router = RunningRouter::start("hup", "127.2.0.1", "log {\n level info\n}\n");
    let mut lines = BufReader::new(router.child.stderr.take().unwrap()).lines();
    let mut wait_for_line =
        |text: &str| lines.by_ref().map(Result::unwrap).find(|line| line.contains(text)).expect(text);
    wait_for_line("router is listening");
    assert_eq!(router.health(&[]), (Some(0), "up ready 1%\n".into()), "no replica is known yet");
    assert_eq!(router.health(&["--weight-exit"]).0, Some(3));
    let write = |text: &str| std::fs::write(router.dir.join("t.conf"), text).unwrap();
    write("checks {\n agant {\n");
    router.signal("-HUP");
    assert!(wait_for_line("unknown directive or section `agant` in section `checks`")
        .contains("configuration rejected"));
    let reserved = ReservedAddress::on("127.2.0.2").unwrap();
    let new_agent = reserved.addr;
    let extra_settings = "log {\n level debug\n queue 99\n}\n";
    write(&RunningRouter::settings(new_agent, &router.dir, extra_settings));
    router.signal("-HUP");
    wait_for_line("setting changed: takes effect after a restart field=\"log.queue\"");
    wait_for_line("setting applied field=\"log.level\"");
    wait_for_line("check listener moved");
    router.agent = new_agent;
    assert_eq!(router.health(&[]).0, Some(0));
    assert_eq!(router.ctl("maint").0, Some(0));
    assert_eq!(router.health(&[]).0, Some(1));
    assert_eq!(router.health(&["--weight-exit"]).0, Some(1));
    assert_eq!(router.ctl("drain").0, Some(0));
    assert_eq!(router.health(&["--weight-exit"]), (Some(2), "up drain\n".into()));
    let (code, shown) = router.ctl("show");
    assert!(code == Some(0) && shown.contains("\"state\":\"drain\""), "{shown}");
    assert_eq!(router.ctl("drain end").0, Some(0));
    wait_for_line("router has shut down");
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    assert_eq!(router.ctl("show").0, Some(1), "the control socket is removed at exit");
}

/// Guards against an unread log that blocks the router's only thread: its lines are dropped and counted instead.
#[test]
fn an_unread_log_does_not_block_the_router() {
    let extra_settings = "log {\n level debug\n form json\n queue 16\n}\n\
                proxy-protocol {\n from 127.0.0.0/8\n platform on\n}\n";
    let connect = |addr| {
        let mut client = TcpStream::connect(addr).unwrap();
        client.write_all(b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n").unwrap();
        client
    };
    let mut router = RunningRouter::start("log", "127.2.1.1", extra_settings);
    let mut client = connect(router.front);
    let mut answers = BufReader::new(client.try_clone().unwrap());
    // The log lines of these requests exceed the capacity of a pipe many times over.
    for request in 0..1500 {
        // Rejections are delayed on a connection that keeps sending requests, so a new one is opened every eight requests.
        if request % 8 == 7 {
            client = connect(router.front);
            answers = BufReader::new(client.try_clone().unwrap());
        }
        client.write_all(common::platform_request("", "{}").as_bytes()).unwrap();
        let mut status = String::new();
        answers.read_line(&mut status).unwrap();
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable\r\n");
        let mut line = String::new();
        while line != "refused\n" {
            line.clear();
            answers.read_line(&mut line).unwrap();
        }
    }
    // Once the log is read, a JSON line reports the number of dropped lines.
    let lines = BufReader::new(router.child.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut lines = lines.map(|line| {
        serde_json::from_str::<serde_json::Value>(&line).unwrap_or_else(|error| panic!("{line}: {error}"))
    });
    let accepted = lines.find(|line| line["message"] == "request accepted").unwrap();
    assert_eq!((&accepted["class"], &accepted["tenant"]), (&"chat".into(), &"haendlerbund".into()));
    assert_eq!(accepted["client"], "192.0.2.7:8080", "the address from the PROXY protocol header");
    let dropped = lines.find(|line| line["message"] == "log lines dropped").unwrap();
    assert!(dropped["dropped"].as_u64().unwrap() > 0, "{dropped}");
}

/// Stops the process and the threads of a test when dropped, also after a failure.
struct StopOnDrop<'a>(std::process::Child, &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.1.store(true, Ordering::SeqCst);
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against idle clients that use up the descriptors while the endpoint list service is down: the router could not
/// connect to the service when it is back, nor to the replicas that it lists.
#[test]
fn idle_clients_leave_descriptors_for_the_endpoint_list_and_replicas() {
    let ip = "127.2.3.1";
    let replica = MockReplica::start(ip);
    // The service accepts connections but does not answer at first.
    let list_service = TcpListener::bind((ip, 0)).unwrap();
    let front = ReservedAddress::on(ip).unwrap();
    let path = std::env::temp_dir().join(format!("tallypin-crowd-{}.json", std::process::id()));
    let config = include_str!("../../examples/config.json").replace("\"sockets\": 1024", "\"sockets\": 128");
    std::fs::write(&path, config.replace("\"MustAskInNs\": 10000000000", "\"MustAskInNs\": 1000000000"))
        .unwrap();
    let mut serve = Command::new("/bin/sh");
    serve.args(["-c", "ulimit -n 128; exec \"$0\" serve", env!("CARGO_BIN_EXE_tallypin")]).env_clear();
    serve.env("PROXY_CONFIG", &path).env("PROXY_LISTEN", front.addr.to_string());
    serve.env("PROXY_DISCOVERY", list_service.local_addr().unwrap().to_string()).stderr(Stdio::null());
    let (stop, replaced_clients) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|s| {
        let _stop = StopOnDrop(serve.spawn().unwrap(), &stop);
        // Keeps about 400 silent connections and opens new ones in place of the oldest, as the router closes some.
        s.spawn(|| {
            let mut idle_clients = std::collections::VecDeque::new();
            while !stop.load(Ordering::SeqCst) {
                idle_clients.extend(TcpStream::connect(front.addr).ok());
                if idle_clients.len() > 400 {
                    idle_clients.pop_front();
                    replaced_clients.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
        let status_of = |request: &str| {
            let mut client = TcpStream::connect(front.addr).ok()?;
            client.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            client.write_all(request.as_bytes()).ok()?;
            let mut status = [0; 12];
            client.read_exact(&mut status).ok()?;
            String::from_utf8(status.to_vec()).ok()
        };
        let wait_until = |condition: &str, holds: &dyn Fn() -> bool| {
            let start = Instant::now();
            while !holds() {
                assert!(start.elapsed() < Duration::from_secs(15), "not within 15 s: {condition}");
            }
        };
        wait_until("the idle connections are open", &|| replaced_clients.load(Ordering::SeqCst) > 100);
        let ready = || status_of("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
        wait_until("the router answers 503 without a replica", &|| {
            ready().as_deref() == Some("HTTP/1.1 503")
        });
        // The service is back and answers each connection.
        s.spawn(|| {
            let message = format!(
                r#"{{"version":1,"full":true,"servers":[{{"id":"n0","addr":"{}","state":"active"}}]}}"#,
                replica.addr
            );
            let mut open_watches = Vec::new();
            list_service.set_nonblocking(true).unwrap();
            while !stop.load(Ordering::SeqCst) {
                let Ok((mut connection, _)) = list_service.accept() else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = connection
                    .write_all(format!("{head}{:x}\r\n{message}\n\r\n", message.len() + 1).as_bytes());
                open_watches.push(connection);
            }
        });
        wait_until("the router has the list and answers 200", &|| ready().as_deref() == Some("HTTP/1.1 200"));
        let request = || status_of(&common::platform_request("", "{}"));
        wait_until("the router serves requests", &|| request().as_deref() == Some("HTTP/1.1 200"));
    });
    std::fs::remove_file(&path).unwrap();
}

/// Router processes, killed when dropped.
struct Processes(Vec<std::process::Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
        }
        for child in &mut self.0 {
            let _ = child.wait();
        }
    }
}

/// Guards against routers that restart together and are not ready until the endpoint list service, which is down, answers;
/// and against routers that report ready without a known replica.
#[test]
fn routers_restarted_together_become_ready_from_their_known_list() {
    const ROUTERS: usize = 120;
    let ip = "127.2.4.1";
    // The service accepts connections and does not answer.
    let list_service = TcpListener::bind((ip, 0)).unwrap();
    let (list_service, dir) = (list_service.local_addr().unwrap().to_string(), tempfile::tempdir().unwrap());
    let config = include_str!("../../examples/config.json");
    let known_list = r#""known": {"version": 1, "full": true, "servers": [
        {"id": "n0", "addr": "127.2.4.1:9", "state": "active"}]}, "settings""#;
    let paths = [dir.path().join("known.json"), dir.path().join("nothing.json")];
    std::fs::write(&paths[0], config.replace("\"settings\"", known_list)).unwrap();
    std::fs::write(&paths[1], config).unwrap();
    let (mut processes, mut waiting) = (Processes(Vec::new()), Vec::new());
    let start = Instant::now();
    for n in 0..ROUTERS {
        let front = ReservedAddress::on(ip).unwrap();
        let has_list = n % 10 != 0;
        let mut command = tallypin();
        command.arg("serve").env("PROXY_CONFIG", &paths[usize::from(!has_list)]).stderr(Stdio::null());
        command.env("PROXY_LISTEN", front.addr.to_string()).env("PROXY_DISCOVERY", &list_service);
        processes.0.push(command.spawn().unwrap());
        waiting.push((front, has_list));
    }
    let ready = |addr| {
        let mut client = TcpStream::connect(addr).ok()?;
        client.write_all(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").ok()?;
        let mut status = [0; 12];
        client.read_exact(&mut status).ok()?;
        Some(status == *b"HTTP/1.1 200")
    };
    let mut ready_after = Vec::new();
    while waiting.iter().any(|(_, has_list)| *has_list) {
        waiting.retain(|(front, has_list)| {
            let ready = ready(front.addr) == Some(true);
            assert!(*has_list || !ready, "ready without a known replica");
            ready.then(|| ready_after.push(start.elapsed()));
            !ready
        });
        assert!(start.elapsed() < Duration::from_secs(30), "{} routers are not ready", waiting.len());
    }
    let (percentile_90, last) = (ready_after[ready_after.len() * 9 / 10], ready_after[ready_after.len() - 1]);
    println!("90% of routers ready after {percentile_90:?}, all after {last:?}");
    assert!(percentile_90 < Duration::from_secs(10), "{percentile_90:?}");
    for (front, _) in &waiting {
        while ready(front.addr).is_none() {
            assert!(start.elapsed() < Duration::from_secs(30), "a router does not answer");
        }
        assert_eq!(ready(front.addr), Some(false), "a router without a known replica is not ready");
    }
}
