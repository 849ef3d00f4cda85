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
const MOST_STARTS: u32 = 3;
/// The longest file that is released, bytes.
const LONGEST: u64 = 256 << 20;

/// A file that a release may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// What it is called in a plan.
    pub what: String,
    /// Where the program, or its supervisor, finds it.
    pub at: PathBuf,
    /// Where there is one for each digest, by that name.
    pub store: PathBuf,
}

/// A trial, in a file beside the place.
#[derive(Debug, Serialize, Deserialize)]
struct Trial {
    old: String,
    new: String,
    store: PathBuf,
    starts: u32,
}

/// The digest of a file's bytes.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn said(what: &Path, e: io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{}: {e}", what.display()))
}

fn wrong(why: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// A file's bytes, if they are not too many.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| said(path, e))?;
    file.take(LONGEST + 1).read_to_end(&mut bytes).map_err(|e| said(path, e))?;
    match bytes.len() as u64 > LONGEST {
        true => Err(wrong(format!("{}: longer than {LONGEST} bytes", path.display()))),
        false => Ok(bytes),
    }
}

/// Writes a file whole, or not at all, as far as the disk tells the truth.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = beside(path, "new");
    let mut file = File::create(&new).map_err(|e| said(&new, e))?;
    file.write_all(bytes).and_then(|()| file.sync_all()).map_err(|e| said(&new, e))?;
    fs::rename(&new, path).map_err(|e| said(path, e))?;
    sync_dir(path)
}

fn sync_dir(path: &Path) -> io::Result<()> {
    let dir = path.parent().filter(|d| !d.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(dir).and_then(|d| d.sync_all()).map_err(|e| said(dir, e))
}

fn beside(path: &Path, what: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{what}"));
    name.into()
}

impl Released {
    /// The digest of what is there now.
    pub fn runs(&self) -> io::Result<String> {
        read(&self.at).map(|bytes| digest(&bytes))
    }

    /// What the store has under a digest, if it is that.
    pub fn stored(&self, digest: &str) -> io::Result<Vec<u8>> {
        // It comes from others: a name, and no way out of the store.
        if digest.len() != 64 || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wrong("not a digest".into()));
        }
        let path = self.store.join(digest);
        let bytes = read(&path)?;
        match self::digest(&bytes) == digest {
            true => Ok(bytes),
            false => Err(wrong(format!("{}: holds something else than its digest says", path.display()))),
        }
    }

    /// Puts what the store has under a digest in the place, on trial. What was there stays in the store.
    pub fn swap(&self, digest: &str) -> io::Result<()> {
        self.stored(digest)?;
        let before = read(&self.at)?;
        let old = self::digest(&before);
        if old == digest {
            // It is there, perhaps by a swap whose last call failed: a new trial would lose the way back.
            return sync_dir(&self.at);
        }
        if self.stored(&old).is_err() {
            write(&self.store.join(&old), &before)?;
        }
        let trial = Trial { old, new: digest.into(), store: self.store.clone(), starts: 0 };
        write(&beside(&self.at, "trial"), &serde_json::to_vec(&trial)?)?;
        link(&self.at, &self.store, digest)
    }

    /// It serves with what is there: the trial is over.
    pub fn keep(&self) -> io::Result<()> {
        match fs::remove_file(beside(&self.at, "trial")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(said(&self.at, e)),
            _ => Ok(()),
        }
    }
}

fn link(at: &Path, store: &Path, digest: &str) -> io::Result<()> {
    let new = beside(at, "new");
    let _ = fs::remove_file(&new);
    // A link to a name in the store that is not absolute would be looked for beside the link.
    let store = fs::canonicalize(store).map_err(|e| said(store, e))?;
    std::os::unix::fs::symlink(store.join(digest), &new).map_err(|e| said(&new, e))?;
    fs::rename(&new, at).map_err(|e| said(at, e))?;
    sync_dir(at)
}

/// At a start, before the file is read: counts it, if the file is on trial, and goes back to what was there before after
/// too many. AdvertisedStatus so, if it did.
pub fn begin(at: &Path) -> Option<String> {
    let path = beside(at, "trial");
    let mut trial: Trial = serde_json::from_slice(&fs::read(&path).ok()?).ok()?;
    trial.starts = trial.starts.saturating_add(1);
    if trial.starts <= MOST_STARTS {
        let counted = serde_json::to_vec(&trial).ok().map(|bytes| write(&path, &bytes));
        return counted?.err().map(|e| format!("a start on trial can't be counted: {e}"));
    }
    let of = Released { what: String::new(), at: at.into(), store: trial.store.clone() };
    let went =
        of.stored(&trial.old).and_then(|_| link(at, &trial.store, &trial.old)).and_then(|()| of.keep());
    Some(match went {
        Ok(()) => {
            format!("{} has not come to serve in {MOST_STARTS} starts: back to {}", trial.new, trial.old)
        }
        Err(e) => format!("{} has not come to serve, and there is no way back: {e}", trial.new),
    })
}

#[cfg(test)]
mod tests;
