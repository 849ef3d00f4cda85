use super::*;

/// `old` installed, `new` in the store.
struct Installed {
    dir: tempfile::TempDir,
    file: ReleaseFile,
}

impl Installed {
    fn new() -> Installed {
        let dir = tempfile::tempdir().unwrap();
        let (path, store_dir) = (dir.path().join("t.conf"), dir.path().join("store"));
        let file = ReleaseFile { artifact: "settings".into(), path, store_dir };
        fs::create_dir_all(&file.store_dir).unwrap();
        fs::write(&file.path, "old").unwrap();
        let installed = Installed { dir, file };
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

    /// What a start says of a trial.
    fn start(&self) -> Option<String> {
        begin_trial(&self.file.path).map(|event| event.to_string())
    }
}

#[test]
fn a_file_is_installed_on_trial_and_rolled_back_after_too_many_starts() {
    let installed = Installed::new();
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
fn a_confirmed_file_is_on_trial_no_longer_and_can_be_replaced() {
    let installed = Installed::new();
    installed.file.install(&digest(b"new")).unwrap();
    assert_eq!(installed.start(), None);
    installed.file.confirm().unwrap();
    assert!((0..9).all(|_| installed.start().is_none()), "confirmed");
    installed.file.install(&digest(b"old")).unwrap();
    assert_eq!(installed.text(), "old", "and the way back");
}

#[test]
fn files_of_the_store_that_are_torn_missing_or_foreign_are_not_installed() {
    let installed = Installed::new();
    let (new, other) = (digest(b"new"), digest(b"other"));
    for (name, held) in [(&new, "ne"), (&new, ""), (&other, "new")] {
        installed.store(name, held);
        let error = installed.file.install(name).unwrap_err().to_string();
        assert!(error.contains("something else"), "{error}");
    }
    assert!(installed.file.install(&digest(b"nowhere")).is_err());
    assert!(installed.file.install("../t.conf").unwrap_err().to_string().contains("not a digest"));
}

#[test]
fn a_torn_trial_changes_nothing() {
    let installed = Installed::new();
    fs::write(trial_path(&installed.file.path), "{torn").unwrap();
    assert_eq!((installed.start(), installed.text()), (None, "old".into()));
}

#[test]
fn what_is_installed_stays_if_the_file_of_before_is_lost() {
    let installed = Installed::new();
    installed.file.install(&digest(b"new")).unwrap();
    installed.store(&digest(b"old"), "ol");
    (0..MAX_TRIAL_STARTS).for_each(|_| drop(installed.start()));
    assert!(installed.start().unwrap().contains("no way back"));
    assert_eq!(installed.text(), "new");
}
