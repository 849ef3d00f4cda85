//! The program as a process: what it says of its configuration, and its planned end.
#![allow(missing_docs)]

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tallypin_test_support::park::{Node, Reserved};
use tallypin_test_support::shim::Library;

fn tallypin() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    command.env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn said(command: &mut Command) -> (Option<i32>, String) {
    let out = command.output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap())
}

#[test]
fn the_command_line_and_the_configuration() {
    let dir = std::env::temp_dir().join(format!("tallypin-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let write = |name: &str, text: &str| {
        std::fs::write(dir.join(name), text).unwrap();
        dir.join(name)
    };
    let good = write("good.json", include_str!("../../examples/config.json"));
    let bad = write("bad.json", &common::CONFIG.replace("\"Me\": 0", "\"Me\": \"zero\""));
    let front = write("t.conf", include_str!("../../deploy/tallypin.conf"));
    let front = front.to_str().unwrap();
    let odd = write("odd.conf", "messages {\n  lisen 127.0.0.1:1\n}\nhealth {\n  step 120%\n}\n");
    let version = format!("tallypin {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(said(tallypin().arg("version")), (Some(0), version));
    assert_eq!(said(tallypin().arg("--help")).0, Some(0));
    for (args, config, code, words) in [
        (&["check"][..], Some(&good), 0, "n1: listens on 127.0.0.1:5000"),
        (&["check", "--settings", front], Some(&good), 0, "messages API on 127.0.0.1:8700"),
        (&["check", "--settings", front, "--print"], Some(&good), 0, "slow-start 10s"),
        (&["check", "--settings", "/nowhere"], Some(&good), 2, "/nowhere cannot be read"),
        (&["check", "--settings", odd.to_str().unwrap()], Some(&good), 2, "2 |   lisen 127.0.0.1:1"),
        (&["serve", "--settings", odd.to_str().unwrap()], Some(&good), 2, "a share from 0% to 100%"),
        (&["check", "--messages", front], Some(&good), 2, "--messages was removed: use --settings FILE"),
        (&["check", "--print"], Some(&good), 2, "check requires --settings FILE with --print"),
        (&["help", "health"], None, 0, "--weight-exit"),
        (&["ctl", "--help"], None, 0, "drain end"),
        (&["help", "settings"], None, 0, "slow-start"),
        (&["help", "helth"], None, 2, "did you mean `health`?"),
        (&["health", "--at", "127.0.0.1:9"], None, 1, "127.0.0.1:9: "),
        (&["health"], None, 2, "health requires --at ADDRESS"),
        (&["health", "--at", "127.0.0.1:9", "--service", "a b"], None, 2, "printable ASCII without spaces"),
        (&["ctl", "--socket", "/nowhere", "show"], None, 1, "/nowhere: "),
        (&["ctl", "--socket", "/nowhere", "weight", "0%"], None, 2, "from 1% to 100%"),
        (&["serve"], Some(&bad), 2, "settings.Me: invalid type"),
        (&["serve"], None, 2, "PROXY_CONFIG: not set"),
        (&["dance"], None, 2, "unknown command `dance`"),
        (&[], None, 2, "no command given"),
    ] {
        let mut command = tallypin();
        command.args(args);
        config.map(|path| command.env("PROXY_CONFIG", path));
        let (got, text) = said(&mut command);
        assert!(got == Some(code) && text.contains(words), "{args:?}: {got:?} {text}");
    }
    let bad_address = said(tallypin().arg("serve").env("PROXY_CONFIG", &good).env("PROXY_LISTEN", "here"));
    assert!(bad_address.0 == Some(2) && bad_address.1.contains("PROXY_LISTEN"), "{bad_address:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Guards against a SIGTERM that ends the program at once, or is lost, before it listens: no socket can be had for a while,
/// and in that time the signal comes.
#[test]
fn sigterm_before_the_listener_is_remembered_and_ends_the_program_in_order() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let reserved = Reserved::on("127.2.2.7").unwrap();
    let path = dir.path().join("config.json");
    std::fs::write(&path, include_str!("../../examples/config.json")).unwrap();
    let mut serve = tallypin();
    serve.arg("serve").env("PROXY_CONFIG", &path).env("PROXY_LISTEN", reserved.at.to_string());
    serve.env("PROXY_DISCOVERY", "127.0.0.1:9").env("LD_PRELOAD", &library).env("FAULT_FIRST", "60");
    let mut child = serve.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut said = |words: &str| lines.by_ref().map(Result::unwrap).find(|l| l.contains(words)).expect(words);
    said("socket not available yet, retrying");
    let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
    said("shutdown begun");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Guards against a program that SIGHUP ends, as it does to whoever has no handler for it.
#[test]
fn sighup_has_the_configuration_read_again_and_sigterm_ends_it_with_exit_code_0() {
    // The program names no port that it picks itself.
    let reserved = Reserved::on("127.2.2.1").unwrap();
    let listen = reserved.at;
    let path = std::env::temp_dir().join(format!("tallypin-term-{}.json", std::process::id()));
    let good = include_str!("../../examples/config.json");
    std::fs::write(&path, good).unwrap();
    let mut serve = tallypin();
    serve.arg("serve").env("PROXY_CONFIG", &path).env("PROXY_LISTEN", listen.to_string());
    let mut child = serve.env("PROXY_DISCOVERY", "127.0.0.1:9").spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut said = |words: &str| lines.by_ref().map(Result::unwrap).find(|l| l.contains(words)).expect(words);
    said(&listen.to_string());
    let signal = |name: &str| {
        let sent = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    };
    std::fs::write(&path, good.replace("\"discovery\"", "\"discovered\"")).unwrap();
    signal("-HUP");
    assert!(said("discovery: missing field").contains("configuration rejected, the running one is kept"));
    std::fs::write(&path, good.replace("\"n1\"", "\"n2\"")).unwrap();
    signal("-HUP");
    said("configuration changed: takes effect after a restart field=\"name\"");
    // The file's word, not the variable's that the start went by.
    said("configuration reloaded endpoint_list=127.0.0.1:8500 moved=true");
    let mut client = TcpStream::connect(listen).unwrap();
    client.write_all(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").unwrap();
    let mut status = [0; 12];
    client.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 503", "no model node is known");
    for name in ["-HUP", "-TERM", "-HUP"] {
        signal(name);
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(&path).unwrap();
}

/// A program with settings, and where it listens: the front, and agent checks.
struct Served {
    child: std::process::Child,
    dir: std::path::PathBuf,
    front: std::net::SocketAddr,
    agent: std::net::SocketAddr,
    _reserved: [Reserved; 2],
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Served {
    fn start(name: &str, ip: &str, more: &str) -> Served {
        let dir = std::env::temp_dir().join(format!("tallypin-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let reserved = [Reserved::on(ip).unwrap(), Reserved::on(ip).unwrap()];
        let [front, agent] = [reserved[0].at, reserved[1].at];
        let (config, settings) = (dir.join("config.json"), dir.join("t.conf"));
        std::fs::write(&config, include_str!("../../examples/config.json")).unwrap();
        std::fs::write(&settings, Served::settings(agent, &dir, more)).unwrap();
        let mut serve = tallypin();
        serve.arg("serve").arg("--settings").arg(&settings).env("PROXY_CONFIG", &config);
        serve.env("PROXY_LISTEN", front.to_string()).env("PROXY_DISCOVERY", "127.0.0.1:9");
        let served = Served { child: serve.spawn().unwrap(), dir, front, agent, _reserved: reserved };
        while TcpStream::connect(front).is_err() {
            std::thread::yield_now();
        }
        served
    }

    fn settings(agent: std::net::SocketAddr, dir: &std::path::Path, more: &str) -> String {
        let socket = dir.join("ctl");
        format!(
            "checks {{\n agent {{\n listen {agent}\n}}\n}}\ncontrol {{\n socket {}\n}}\n\
             drain {{\n least 1ms\n settle 1ms\n parting 1ms\n unknown-interval 1ms\n}}\n{more}",
            socket.display()
        )
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    fn ctl(&self, order: &str) -> (Option<i32>, String) {
        said(tallypin().arg("ctl").arg("--socket").arg(self.dir.join("ctl")).args(order.split(' ')))
    }

    fn health(&self, more: &[&str]) -> (Option<i32>, String) {
        said(tallypin().args(["health", "--at", &self.agent.to_string()]).args(more))
    }
}

#[test]
fn settings_are_read_again_on_sighup_and_an_order_ends_the_program() {
    let mut served = Served::start("hup", "127.2.0.1", "log {\n level info\n}\n");
    let mut lines = BufReader::new(served.child.stderr.take().unwrap()).lines();
    let mut told = |words: &str| lines.by_ref().map(Result::unwrap).find(|l| l.contains(words)).expect(words);
    told("router is listening");
    assert_eq!(served.health(&[]), (Some(0), "up ready 1%\n".into()), "no node is known yet");
    assert_eq!(served.health(&["--weight-exit"]).0, Some(3));
    let write = |text: &str| std::fs::write(served.dir.join("t.conf"), text).unwrap();
    write("checks {\n agant {\n");
    served.signal("-HUP");
    assert!(
        told("unknown directive or section `agant` in section `checks`").contains("configuration rejected")
    );
    let reserved = Reserved::on("127.2.0.2").unwrap();
    let moved = reserved.at;
    let more = "log {\n level debug\n queue 99\n}\n";
    write(&Served::settings(moved, &served.dir, more));
    served.signal("-HUP");
    told("setting changed: takes effect after a restart field=\"log.queue\"");
    told("setting applied field=\"log.level\"");
    told("check listener moved");
    served.agent = moved;
    assert_eq!(served.health(&[]).0, Some(0));
    assert_eq!(served.ctl("maint").0, Some(0));
    assert_eq!(served.health(&[]).0, Some(1));
    assert_eq!(served.health(&["--weight-exit"]).0, Some(1));
    assert_eq!(served.ctl("drain").0, Some(0));
    assert_eq!(served.health(&["--weight-exit"]), (Some(2), "up drain\n".into()));
    let (code, shown) = served.ctl("show");
    assert!(code == Some(0) && shown.contains("\"state\":\"drain\""), "{shown}");
    assert_eq!(served.ctl("drain end").0, Some(0));
    told("router has shut down");
    assert_eq!(served.child.wait().unwrap().code(), Some(0));
    assert_eq!(served.ctl("show").0, Some(1), "the socket goes with the program");
}

/// Guards against a log that nobody reads holding up the one thread: its lines are dropped, and counted.
#[test]
fn a_log_that_is_not_read_holds_nothing_up() {
    let more = "log {\n level debug\n form json\n queue 16\n}\n\
                proxy-protocol {\n from 127.0.0.0/8\n platform on\n}\n";
    let connect = |at| {
        let mut client = TcpStream::connect(at).unwrap();
        client.write_all(b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n").unwrap();
        client
    };
    let mut served = Served::start("log", "127.2.1.1", more);
    let mut client = connect(served.front);
    let mut answers = BufReader::new(client.try_clone().unwrap());
    // Far more than a pipe holds.
    for i in 0..1500 {
        // Whoever asks again and again on one connection after refusals is held up, which is another matter.
        if i % 8 == 7 {
            client = connect(served.front);
            answers = BufReader::new(client.try_clone().unwrap());
        }
        client.write_all(common::platform("", "{}").as_bytes()).unwrap();
        let mut status = String::new();
        answers.read_line(&mut status).unwrap();
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable\r\n");
        let mut line = String::new();
        while line != "refused\n" {
            line.clear();
            answers.read_line(&mut line).unwrap();
        }
    }
    // Read from now on, it tells what is missing, as lines of JSON with the fields' names.
    let lines = BufReader::new(served.child.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut lines =
        lines.map(|l| serde_json::from_str::<serde_json::Value>(&l).unwrap_or_else(|e| panic!("{l}: {e}")));
    let accepted = lines.find(|l| l["message"] == "request accepted").unwrap();
    assert_eq!((&accepted["class"], &accepted["tenant"]), (&"chat".into(), &"haendlerbund".into()));
    assert_eq!(accepted["client"], "192.0.2.7:8080", "as the balancer says");
    let dropped = lines.find(|l| l["message"] == "log lines dropped").unwrap();
    assert!(dropped["dropped"].as_u64().unwrap() > 0, "{dropped}");
}

/// Ends what runs beside a test, also one that fails.
struct Ends<'a>(std::process::Child, &'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.1.store(true, Ordering::SeqCst);
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against idle clients that take the last descriptors while the node list is away: the router would not get
/// through to it when it is back, nor to the nodes that it names.
#[test]
fn idle_clients_leave_room_for_the_node_list_and_for_nodes() {
    let ip = "127.2.3.1";
    let node = Node::start(ip);
    // It takes calls and answers none, for now.
    let list = TcpListener::bind((ip, 0)).unwrap();
    let front = Reserved::on(ip).unwrap();
    let path = std::env::temp_dir().join(format!("tallypin-crowd-{}.json", std::process::id()));
    let config = include_str!("../../examples/config.json").replace("\"sockets\": 1024", "\"sockets\": 128");
    std::fs::write(&path, config.replace("\"MustAskInNs\": 10000000000", "\"MustAskInNs\": 1000000000"))
        .unwrap();
    let mut serve = Command::new("/bin/sh");
    serve.args(["-c", "ulimit -n 128; exec \"$0\" serve", env!("CARGO_BIN_EXE_tallypin")]).env_clear();
    serve.env("PROXY_CONFIG", &path).env("PROXY_LISTEN", front.at.to_string());
    serve.env("PROXY_DISCOVERY", list.local_addr().unwrap().to_string()).stderr(Stdio::null());
    let (over, crowd) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|s| {
        let _ends = Ends(serve.spawn().unwrap(), &over);
        // Always a few hundred that say nothing; whoever is closed is replaced.
        s.spawn(|| {
            let mut idle = std::collections::VecDeque::new();
            while !over.load(Ordering::SeqCst) {
                idle.extend(TcpStream::connect(front.at).ok());
                if idle.len() > 400 {
                    idle.pop_front();
                    crowd.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
        let asks = |request: &str| {
            let mut client = TcpStream::connect(front.at).ok()?;
            client.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            client.write_all(request.as_bytes()).ok()?;
            let mut status = [0; 12];
            client.read_exact(&mut status).ok()?;
            String::from_utf8(status.to_vec()).ok()
        };
        let until = |what: &str, so: &dyn Fn() -> bool| {
            let begun = Instant::now();
            while !so() {
                assert!(begun.elapsed() < Duration::from_secs(15), "not in time: {what}");
            }
        };
        until("the crowd is there", &|| crowd.load(Ordering::SeqCst) > 100);
        let up = || asks("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
        until("it says that it serves nothing", &|| up().as_deref() == Some("HTTP/1.1 503"));
        // The list is back: whoever calls now is answered.
        s.spawn(|| {
            let row = format!(
                r#"{{"version":1,"full":true,"servers":[{{"id":"n0","addr":"{}","state":"active"}}]}}"#,
                node.at
            );
            let mut watches = Vec::new();
            list.set_nonblocking(true).unwrap();
            while !over.load(Ordering::SeqCst) {
                let Ok((mut call, _)) = list.accept() else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = call.write_all(format!("{head}{:x}\r\n{row}\n\r\n", row.len() + 1).as_bytes());
                watches.push(call);
            }
        });
        until("it is told and says so", &|| up().as_deref() == Some("HTTP/1.1 200"));
        let request = || asks(&common::platform("", "{}"));
        until("it serves", &|| request().as_deref() == Some("HTTP/1.1 200"));
    });
    std::fs::remove_file(&path).unwrap();
}

/// Processes, ended with the test.
struct Fleet(Vec<std::process::Child>);

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
        }
        for child in &mut self.0 {
            let _ = child.wait();
        }
    }
}

/// Guards against routers that restart together and wait for a node list that is down before they say that they are
/// ready, and against ones that say so and know no node.
#[test]
fn hundreds_that_restart_together_are_ready_by_the_list_they_held() {
    const FLEET: usize = 120;
    let ip = "127.2.4.1";
    // It takes calls and answers none.
    let list = TcpListener::bind((ip, 0)).unwrap();
    let (list, dir) = (list.local_addr().unwrap().to_string(), tempfile::tempdir().unwrap());
    let config = include_str!("../../examples/config.json");
    let known = r#""known": {"version": 1, "full": true, "servers": [
        {"id": "n0", "addr": "127.2.4.1:9", "state": "active"}]}, "settings""#;
    let paths = [dir.path().join("known.json"), dir.path().join("nothing.json")];
    std::fs::write(&paths[0], config.replace("\"settings\"", known)).unwrap();
    std::fs::write(&paths[1], config).unwrap();
    let (mut fleet, mut waiting) = (Fleet(Vec::new()), Vec::new());
    let begun = Instant::now();
    for n in 0..FLEET {
        let front = Reserved::on(ip).unwrap();
        let knows = n % 10 != 0;
        let mut serve = tallypin();
        serve.arg("serve").env("PROXY_CONFIG", &paths[usize::from(!knows)]).stderr(Stdio::null());
        serve.env("PROXY_LISTEN", front.at.to_string()).env("PROXY_DISCOVERY", &list);
        fleet.0.push(serve.spawn().unwrap());
        waiting.push((front, knows));
    }
    let up = |at| {
        let mut client = TcpStream::connect(at).ok()?;
        client.write_all(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").ok()?;
        let mut status = [0; 12];
        client.read_exact(&mut status).ok()?;
        Some(status == *b"HTTP/1.1 200")
    };
    let mut ready_after = Vec::new();
    while waiting.iter().any(|(_, knows)| *knows) {
        waiting.retain(|(front, knows)| {
            let ready = up(front.at) == Some(true);
            assert!(*knows || !ready, "ready with no node known");
            ready.then(|| ready_after.push(begun.elapsed()));
            !ready
        });
        assert!(begun.elapsed() < Duration::from_secs(30), "{} are not ready", waiting.len());
    }
    let (nine_in_ten, last) = (ready_after[ready_after.len() * 9 / 10], ready_after[ready_after.len() - 1]);
    println!("nine in ten ready after {nine_in_ten:?}, all after {last:?}");
    assert!(nine_in_ten < Duration::from_secs(10), "{nine_in_ten:?}");
    for (front, _) in &waiting {
        while up(front.at).is_none() {
            assert!(begun.elapsed() < Duration::from_secs(30), "one does not answer");
        }
        assert_eq!(up(front.at), Some(false), "it knows no node, and says so");
    }
}
