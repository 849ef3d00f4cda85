//! Fault injection for file operations: a process is killed at each of its file system calls in turn, or those calls fail
//! for a while, and the files left behind are checked. The process is this test program, started again to run one of the
//! tests that are marked as ignored here.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};

use tallypin_consensus::fleet_state::FleetState;
use tallypin_test_support::fault_injection::Library;

use super::release_files::{self, ReleaseFile};
use super::stored_state;

/// Environment variable with the folder that the child process works in.
const FOLDER_VARIABLE: &str = "TALLYPIN_FOLDER";
const FLEET_NAME: &str = "nord";

fn folder() -> PathBuf {
    std::env::var_os(FOLDER_VARIABLE).expect("the parent test sets the folder variable").into()
}

fn state_of_version(version: u64) -> FleetState {
    FleetState { version, ..FleetState::default() }
}

/// Maximum number of attempts of a child process at an operation that fails.
const MAX_ATTEMPTS: usize = 50;

/// Runs in the child process: replaces stored state 1 with state 2, retrying until it succeeds.
#[test]
#[ignore = "a part of stored_documents_survive"]
fn part_store() {
    let path = folder().join("stored");
    let stored =
        (0..MAX_ATTEMPTS).any(|_| stored_state::write(&path, FLEET_NAME, &state_of_version(2)).is_ok());
    assert!(stored, "the write still fails after {MAX_ATTEMPTS} attempts");
}

/// Runs in the child process: installs the released file, retrying until it succeeds.
#[test]
#[ignore = "a part of a_released_file_survives"]
fn part_swap() {
    let installed =
        (0..MAX_ATTEMPTS).any(|_| release_file(&folder()).install(&release_files::digest(b"new")).is_ok());
    assert!(installed, "the installation still fails after {MAX_ATTEMPTS} attempts");
}

fn release_file(dir: &Path) -> ReleaseFile {
    ReleaseFile { artifact: "settings".into(), path: dir.join("t.conf"), store_dir: dir.join("store") }
}

/// Exit status of a child process, and the number of file system calls it reported, if it was not killed before.
struct ChildExit {
    status: ExitStatus,
    call_count: Option<usize>,
}

/// Runs a test of this module in a child process, with a fault from the file system call numbered `first_call` on.
fn run_child(test: &str, library: &Path, dir: &Path, first_call: usize, fault: &str) -> ChildExit {
    let mut command = Command::new(std::env::current_exe().expect("path of this test program"));
    command.args([&format!("fleet::file_faults::{test}"), "--exact", "--ignored", "--test-threads", "1"]);
    command.env("LD_PRELOAD", library).env(FOLDER_VARIABLE, dir).env("FILES_IN", dir);
    command.env("FILES_AT", first_call.to_string()).env("FILES_DO", fault).env("FILES_FOR", "7");
    let output = command.output().expect("the child process starts");
    let text = String::from_utf8_lossy(&output.stderr);
    let call_count =
        text.lines().find_map(|l| l.strip_prefix("files: ")?.strip_suffix(" calls")?.parse().ok());
    ChildExit { status: output.status, call_count }
}

/// Injects each fault at each file system call of a child process, every time in a folder set up by `prepare`. After each
/// run, `check` examines the folder; it also receives whether the child succeeded, and a description of the case.
fn with_fault_at_each_call(test: &str, prepare: impl Fn(&Path), check: impl Fn(&Path, bool, &str)) {
    let tools = tempfile::tempdir().unwrap();
    let library = Library::Files.compile(tools.path()).expect("a C compiler");
    let run_with_fault = |call: usize, fault: &str| {
        let dir = tempfile::tempdir().unwrap();
        prepare(dir.path());
        let exit = run_child(test, &library, dir.path(), call, fault);
        check(dir.path(), exit.status.success(), &format!("{fault} at call {call}"));
        exit
    };
    let call_count = run_with_fault(0, "none").call_count.expect("a run without a fault reports its calls");
    assert!(call_count > 3, "only {call_count} calls were counted");
    for call in 1..=call_count {
        for fault in ["kill", "half"] {
            assert!(
                !run_with_fault(call, fault).status.success(),
                "{fault} at call {call} of {call_count}: not killed"
            );
        }
        for fault in ["ENOSPC", "EIO"] {
            let exit = run_with_fault(call, fault);
            assert!(
                exit.status.success() && exit.call_count > Some(call_count),
                "{fault} at call {call}: no fault"
            );
        }
    }
}

/// Guards against writing a file in place: a kill during the write would leave a truncated state.
#[test]
fn stored_states_survive_a_kill_at_each_call_and_a_full_disk() {
    let prepare =
        |dir: &Path| stored_state::write(&dir.join("stored"), FLEET_NAME, &state_of_version(1)).unwrap();
    with_fault_at_each_call("part_store", prepare, |dir, succeeded, case| {
        let stored = stored_state::read(&dir.join("stored"), FLEET_NAME)
            .unwrap_or_else(|error| panic!("{case}: {error}"));
        let version = stored.unwrap_or_else(|| panic!("{case}: nothing is stored")).version;
        assert!(if succeeded { version == 2 } else { version == 1 || version == 2 }, "{case}: {version}");
        // Temporary files left by the interrupted write do not prevent the next write.
        stored_state::write(&dir.join("stored"), FLEET_NAME, &state_of_version(3)).unwrap();
        assert_eq!(
            stored_state::read(&dir.join("stored"), FLEET_NAME).unwrap().unwrap().version,
            3,
            "{case}"
        );
    });
}

/// Guards against an installation path without a file, and against a trial that can't be rolled back.
#[test]
fn a_released_file_survives_a_kill_at_each_call_and_a_full_disk() {
    let (old, new) = (release_files::digest(b"old"), release_files::digest(b"new"));
    let prepare = |dir: &Path| {
        std::fs::create_dir(dir.join("store")).unwrap();
        std::fs::write(dir.join("store").join(&new), "new").unwrap();
        std::fs::write(dir.join("t.conf"), "old").unwrap();
    };
    with_fault_at_each_call("part_swap", prepare, |dir, succeeded, case| {
        let file = release_file(dir);
        let installed = file.installed_digest().unwrap_or_else(|error| panic!("{case}: {error}"));
        assert!(
            if succeeded { installed == new } else { installed == new || installed == old },
            "{case}: {installed}"
        );
        // After too many unconfirmed starts the old file is installed again, whatever the interrupted run left behind.
        for _ in 0..9 {
            release_files::record_trial_start(&file.path);
        }
        assert_eq!(file.installed_digest().unwrap(), old, "{case}: after unconfirmed starts");
        file.install(&new).unwrap();
        assert_eq!(file.installed_digest().unwrap(), new, "{case}: installed once more");
    });
}
