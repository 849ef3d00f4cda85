use super::*;

/// A release file with `old` installed and `new` in the store.
struct InstalledFile {
    dir: tempfile::TempDir,
    file: ReleaseFile,
}

impl InstalledFile {
    fn new() -> InstalledFile {
        let dir = tempfile::tempdir().unwrap();
        let (path, store_dir) = (dir.path().join("t.conf"), dir.path().join("store"));
        let file = ReleaseFile { artifact: "settings".into(), path, store_dir };
        fs::create_dir_all(&file.store_dir).unwrap();
        fs::write(&file.path, "old").unwrap();
        let installed = InstalledFile { dir, file };
        installed.store(&digest(b"new"), "new");
        installed
    }

    fn store(&self, digest: &str, text: &str) {
        fs::write(self.file.store_dir.join(digest), text).unwrap();
    }

    fn text(&self) -> String {
        assert!(self.dir.path().exists());
        fs::read_to_string(&self.file.path).unwrap()
    }

    /// Simulates a start of the program and returns the text of its trial event.
    fn start(&self) -> Option<String> {
        record_trial_start(&self.file.path).map(|event| event.to_string())
    }
}

#[test]
fn a_file_is_installed_on_trial_and_rolled_back_after_too_many_starts() {
    let installed = InstalledFile::new();
    installed.file.install(&digest(b"new")).unwrap();
    assert_eq!(
        (installed.file.installed_digest().unwrap(), installed.text()),
        (digest(b"new"), "new".into())
    );
    for _ in 0..MAX_TRIAL_STARTS {
        assert_eq!(installed.start(), None);
        assert_eq!(installed.text(), "new");
    }
    assert!(installed.start().unwrap().contains("back to"));
    assert_eq!((installed.text().as_str(), installed.start()), ("old", None));
}

#[test]
fn confirmation_ends_the_trial_and_the_file_can_be_replaced() {
    let installed = InstalledFile::new();
    installed.file.install(&digest(b"new")).unwrap();
    assert_eq!(installed.start(), None);
    installed.file.confirm().unwrap();
    assert!((0..9).all(|_| installed.start().is_none()), "confirmed");
    installed.file.install(&digest(b"old")).unwrap();
    assert_eq!(installed.text(), "old", "installed again from the store");
}

#[test]
fn truncated_missing_or_mismatched_files_of_the_store_are_not_installed() {
    let installed = InstalledFile::new();
    let (new, other) = (digest(b"new"), digest(b"other"));
    for (name, content) in [(&new, "ne"), (&new, ""), (&other, "new")] {
        installed.store(name, content);
        let error = installed.file.install(name).unwrap_err().to_string();
        assert!(error.contains("does not match the digest"), "{error}");
    }
    assert!(installed.file.install(&digest(b"nowhere")).is_err());
    assert!(installed.file.install("../t.conf").unwrap_err().to_string().contains("not a digest"));
}

#[test]
fn a_truncated_trial_marker_is_ignored() {
    let installed = InstalledFile::new();
    fs::write(trial_path(&installed.file.path), "{torn").unwrap();
    assert_eq!((installed.start(), installed.text()), (None, "old".into()));
}

#[test]
fn the_installed_file_stays_if_the_previous_file_is_corrupted() {
    let installed = InstalledFile::new();
    installed.file.install(&digest(b"new")).unwrap();
    installed.store(&digest(b"old"), "ol");
    (0..MAX_TRIAL_STARTS).for_each(|_| drop(installed.start()));
    assert!(installed.start().unwrap().contains("roll-back failed"));
    assert_eq!(installed.text(), "new");
}
