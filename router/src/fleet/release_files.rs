//! The files that a release changes: a place that a supervisor starts the program by, and a store beside it with one file
//! for each digest. A place becomes a link into the store, changed by rename. What is put there is on trial until the
//! fleet has agreed that the router serves with it: a start that finds the trial too old goes back by itself. Guards
//! against a file with which the program does not come up far enough to be told anything.
//!
//! Disks are believed in nothing: a file is known by its digest, read anew each time. One that lies about what it has
//! stored makes a start with the file from before, which the fleet then sees.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// Starts on trial that are left before the program goes back.
const MAX_TRIAL_STARTS: u32 = 3;
/// The longest file that is released, bytes.
const MAX_FILE_BYTES: u64 = 256 << 20;

/// A file that a release may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseFile {
    /// What it is called in a plan.
    pub artifact: String,
    /// Where the program, or its supervisor, finds it.
    pub path: PathBuf,
    /// Where there is one for each digest, by that name.
    pub store_dir: PathBuf,
}

/// A trial, in a file beside the place.
#[derive(Debug, Serialize, Deserialize)]
struct Trial {
    #[serde(rename = "old")]
    previous_digest: String,
    #[serde(rename = "new")]
    installed_digest: String,
    #[serde(rename = "store")]
    store_dir: PathBuf,
    starts: u32,
}

/// The digest of a file's bytes.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn named(what: &Path, e: io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{}: {e}", what.display()))
}

fn invalid(why: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// A file's bytes, if they are not too many.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| named(path, e))?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| named(path, e))?;
    match bytes.len() as u64 > MAX_FILE_BYTES {
        true => Err(invalid(format!("{}: longer than {MAX_FILE_BYTES} bytes", path.display()))),
        false => Ok(bytes),
    }
}

/// Writes a file whole, or not at all, as far as the disk tells the truth.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = beside(path, "new");
    let mut file = File::create(&new).map_err(|e| named(&new, e))?;
    file.write_all(bytes).and_then(|()| file.sync_all()).map_err(|e| named(&new, e))?;
    fs::rename(&new, path).map_err(|e| named(path, e))?;
    sync_dir(path)
}

fn sync_dir(path: &Path) -> io::Result<()> {
    let dir = path.parent().filter(|d| !d.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(dir).and_then(|d| d.sync_all()).map_err(|e| named(dir, e))
}

fn beside(path: &Path, what: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{what}"));
    name.into()
}

impl ReleaseFile {
    /// The digest of what is there now.
    pub fn installed_digest(&self) -> io::Result<String> {
        read(&self.path).map(|bytes| digest(&bytes))
    }

    /// What the store has under a digest, if it is that.
    pub fn stored_bytes(&self, digest: &str) -> io::Result<Vec<u8>> {
        // It comes from others: a name, and no way out of the store.
        if digest.len() != 64 || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid("not a digest".into()));
        }
        let path = self.store_dir.join(digest);
        let bytes = read(&path)?;
        match self::digest(&bytes) == digest {
            true => Ok(bytes),
            false => Err(invalid(format!("{}: holds something else than its digest says", path.display()))),
        }
    }

    /// Puts what the store has under a digest in the place, on trial. What was there stays in the store.
    pub fn install(&self, digest: &str) -> io::Result<()> {
        self.stored_bytes(digest)?;
        let before = read(&self.path)?;
        let old = self::digest(&before);
        if old == digest {
            // It is there, perhaps by a swap whose last call failed: a new trial would lose the way back.
            return sync_dir(&self.path);
        }
        if self.stored_bytes(&old).is_err() {
            write(&self.store_dir.join(&old), &before)?;
        }
        let trial = Trial {
            previous_digest: old,
            installed_digest: digest.into(),
            store_dir: self.store_dir.clone(),
            starts: 0,
        };
        write(&beside(&self.path, "trial"), &serde_json::to_vec(&trial)?)?;
        replace_with_link(&self.path, &self.store_dir, digest)
    }

    /// It serves with what is there: the trial is over.
    pub fn confirm(&self) -> io::Result<()> {
        match fs::remove_file(beside(&self.path, "trial")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(named(&self.path, e)),
            _ => Ok(()),
        }
    }
}

fn replace_with_link(at: &Path, store: &Path, digest: &str) -> io::Result<()> {
    let new = beside(at, "new");
    let _ = fs::remove_file(&new);
    // A link to a name in the store that is not absolute would be looked for beside the link.
    let store = fs::canonicalize(store).map_err(|e| named(store, e))?;
    std::os::unix::fs::symlink(store.join(digest), &new).map_err(|e| named(&new, e))?;
    fs::rename(&new, at).map_err(|e| named(at, e))?;
    sync_dir(at)
}

/// At a start, before the file is read: counts it, if the file is on trial, and goes back to what was there before after
/// too many. AdvertisedStatus so, if it did.
pub fn begin_trial(at: &Path) -> Option<String> {
    let path = beside(at, "trial");
    let mut trial: Trial = serde_json::from_slice(&fs::read(&path).ok()?).ok()?;
    trial.starts = trial.starts.saturating_add(1);
    if trial.starts <= MAX_TRIAL_STARTS {
        let counted = serde_json::to_vec(&trial).ok().map(|bytes| write(&path, &bytes));
        return counted?.err().map(|e| format!("a start on trial can't be counted: {e}"));
    }
    let of = ReleaseFile { artifact: String::new(), path: at.into(), store_dir: trial.store_dir.clone() };
    let went = of
        .stored_bytes(&trial.previous_digest)
        .and_then(|_| replace_with_link(at, &trial.store_dir, &trial.previous_digest))
        .and_then(|()| of.confirm());
    Some(match went {
        Ok(()) => {
            format!(
                "{} has not come to serve in {MAX_TRIAL_STARTS} starts: back to {}",
                trial.installed_digest, trial.previous_digest
            )
        }
        Err(e) => format!("{} has not come to serve, and there is no way back: {e}", trial.installed_digest),
    })
}

#[cfg(test)]
mod tests;
