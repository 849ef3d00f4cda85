use super::*;

fn place(test: &str) -> Released {
    let dir = std::env::temp_dir().join(format!("tallypin-files-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    let r = Released { what: "settings".into(), at: dir.join("t.conf"), store: dir.join("store") };
    fs::create_dir_all(&r.store).unwrap();
    fs::write(&r.at, "old").unwrap();
    fs::write(r.store.join(digest(b"new")), "new").unwrap();
    r
}

#[test]
fn a_file_is_put_in_its_place_on_trial_and_goes_back_after_too_many_starts() {
    let r = place("trial");
    r.swap(&digest(b"new")).unwrap();
    assert_eq!((r.runs().unwrap(), fs::read_to_string(&r.at).unwrap()), (digest(b"new"), "new".into()));
    for _ in 0..MOST_STARTS {
        assert_eq!(begin(&r.at), None);
        assert_eq!(fs::read_to_string(&r.at).unwrap(), "new");
    }
    assert!(begin(&r.at).unwrap().contains("back to"));
    assert_eq!((fs::read_to_string(&r.at).unwrap().as_str(), begin(&r.at)), ("old", None));
    r.swap(&digest(b"new")).unwrap();
    assert_eq!(begin(&r.at), None);
    r.keep().unwrap();
    assert!((0..9).all(|_| begin(&r.at).is_none()), "kept");
    r.swap(&digest(b"old")).unwrap();
    assert_eq!(fs::read_to_string(&r.at).unwrap(), "old", "and the way back");
}

/// What a disk that lies leaves: nothing is put in place by it, and what is there stays.
#[test]
fn torn_missing_and_foreign_files_change_nothing() {
    let r = place("torn");
    let (new, other) = (digest(b"new"), digest(b"other"));
    for (name, held) in [(&new, "ne"), (&new, ""), (&other, "new")] {
        fs::write(r.store.join(name), held).unwrap();
        assert!(r.swap(name).unwrap_err().to_string().contains("something else"));
    }
    assert!(r.swap(&digest(b"nowhere")).is_err());
    assert!(r.swap("../t.conf").unwrap_err().to_string().contains("not a digest"));
    fs::write(beside(&r.at, "trial"), "{torn").unwrap();
    assert_eq!((begin(&r.at), fs::read_to_string(&r.at).unwrap()), (None, "old".into()));
    // The way back is gone: said, and what is there stays.
    fs::write(r.store.join(&new), "new").unwrap();
    r.swap(&new).unwrap();
    fs::write(r.store.join(digest(b"old")), "ol").unwrap();
    (0..MOST_STARTS).for_each(|_| drop(begin(&r.at)));
    assert!(begin(&r.at).unwrap().contains("no way back"));
    assert_eq!(fs::read_to_string(&r.at).unwrap(), "new");
}
