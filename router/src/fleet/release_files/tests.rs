use super::*;

fn place(test: &str) -> ReleaseFile {
    let dir = std::env::temp_dir().join(format!("tallypin-files-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    let r =
        ReleaseFile { artifact: "settings".into(), path: dir.join("t.conf"), store_dir: dir.join("store") };
    fs::create_dir_all(&r.store_dir).unwrap();
    fs::write(&r.path, "old").unwrap();
    fs::write(r.store_dir.join(digest(b"new")), "new").unwrap();
    r
}

#[test]
fn a_file_is_put_in_its_place_on_trial_and_goes_back_after_too_many_starts() {
    let r = place("trial");
    r.install(&digest(b"new")).unwrap();
    assert_eq!(
        (r.installed_digest().unwrap(), fs::read_to_string(&r.path).unwrap()),
        (digest(b"new"), "new".into())
    );
    for _ in 0..MAX_TRIAL_STARTS {
        assert_eq!(begin_trial(&r.path), None);
        assert_eq!(fs::read_to_string(&r.path).unwrap(), "new");
    }
    assert!(begin_trial(&r.path).unwrap().contains("back to"));
    assert_eq!((fs::read_to_string(&r.path).unwrap().as_str(), begin_trial(&r.path)), ("old", None));
    r.install(&digest(b"new")).unwrap();
    assert_eq!(begin_trial(&r.path), None);
    r.confirm().unwrap();
    assert!((0..9).all(|_| begin_trial(&r.path).is_none()), "kept");
    r.install(&digest(b"old")).unwrap();
    assert_eq!(fs::read_to_string(&r.path).unwrap(), "old", "and the way back");
}

/// What a disk that lies leaves: nothing is put in place by it, and what is there stays.
#[test]
fn torn_missing_and_foreign_files_change_nothing() {
    let r = place("torn");
    let (new, other) = (digest(b"new"), digest(b"other"));
    for (name, held) in [(&new, "ne"), (&new, ""), (&other, "new")] {
        fs::write(r.store_dir.join(name), held).unwrap();
        assert!(r.install(name).unwrap_err().to_string().contains("something else"));
    }
    assert!(r.install(&digest(b"nowhere")).is_err());
    assert!(r.install("../t.conf").unwrap_err().to_string().contains("not a digest"));
    fs::write(beside(&r.path, "trial"), "{torn").unwrap();
    assert_eq!((begin_trial(&r.path), fs::read_to_string(&r.path).unwrap()), (None, "old".into()));
    // The way back is gone: said, and what is there stays.
    fs::write(r.store_dir.join(&new), "new").unwrap();
    r.install(&new).unwrap();
    fs::write(r.store_dir.join(digest(b"old")), "ol").unwrap();
    (0..MAX_TRIAL_STARTS).for_each(|_| drop(begin_trial(&r.path)));
    assert!(begin_trial(&r.path).unwrap().contains("no way back"));
    assert_eq!(fs::read_to_string(&r.path).unwrap(), "new");
}
