//! The files that a release may change: each is found by the program, or its supervisor, at a path, and is kept in a store
//! beside it under its digest. Installed, the path becomes a link into the store, replaced by rename.
//!
//! An installed file is on trial until the fleet has agreed that the router serves with it. A start that finds the trial
//! too old goes back to the file of before, so that a file with which the program does not come up is undone by itself.
//!
//! Disks are not trusted: a file is known by its digest, read anew each time. One that lies about what it has stored makes
//! a start with the file of before, which the fleet then sees.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// Starts on trial before the program goes back: one more than a crash by chance, or two, explain.
const MAX_TRIAL_STARTS: u32 = 3;
/// The longest file that is released, bytes: far above any program, and read into memory.
const MAX_FILE_BYTES: u64 = 256 << 20;
/// Hex digits of a digest.
const DIGEST_DIGITS: usize = 64;

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

/// A trial, in a file beside the installed one.
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

/// Why a file can't be read, stored or installed.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// A call on it failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file, or its directory.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// It is longer than `MAX_FILE_BYTES`.
    #[error("{}: longer than {MAX_FILE_BYTES} bytes", .0.display())]
    TooLong(PathBuf),
    /// A name that is no digest.
    #[error("not a digest")]
    NotADigest,
    /// A file of the store that is not what its name says.
    #[error("{}: holds something else than its digest says", .0.display())]
    WrongDigest(PathBuf),
    /// What is to be written can't be put into JSON.
    #[error("{0}")]
    NotEncodable(#[from] serde_json::Error),
}

impl FileError {
    /// Its kind as that of an I/O error: `InvalidData` for a file that is not what it should be.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            FileError::Io { source, .. } => source.kind(),
            _ => io::ErrorKind::InvalidData,
        }
    }
}

/// What a start did about a trial, for the operator.
#[derive(Debug)]
pub enum TrialEvent {
    /// The start can't be counted: a trial that fails would not be rolled back.
    NotCounted(FileError),
    /// There were too many starts: the file of before is installed again.
    RolledBack {
        /// What did not come to serve.
        installed_digest: String,
        /// What is installed now.
        previous_digest: String,
    },
    /// There were too many starts, and the file of before can't be installed.
    NotRolledBack {
        /// What did not come to serve, and is still installed.
        installed_digest: String,
        /// What failed.
        error: FileError,
    },
}

impl fmt::Display for TrialEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TrialEvent::NotCounted(error) => write!(f, "a start on trial can't be counted: {error}"),
            TrialEvent::RolledBack { installed_digest, previous_digest } => write!(
                f,
                "{installed_digest} has not come to serve in {MAX_TRIAL_STARTS} starts: back to {previous_digest}"
            ),
            TrialEvent::NotRolledBack { installed_digest, error } => {
                write!(f, "{installed_digest} has not come to serve, and there is no way back: {error}")
            }
        }
    }
}

/// The digest of a file's bytes, in hex.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// Whether a word has the form of a digest.
pub fn is_digest(word: &str) -> bool {
    word.len() == DIGEST_DIGITS && word.bytes().all(|b| b.is_ascii_hexdigit())
}

fn with_path(path: &Path, source: io::Error) -> FileError {
    FileError::Io { path: path.into(), source }
}

/// A file's bytes.
///
/// # Errors
///
/// It can't be read, or is longer than `MAX_FILE_BYTES`.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| with_path(path, e))?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| with_path(path, e))?;
    match bytes.len() as u64 > MAX_FILE_BYTES {
        true => Err(FileError::TooLong(path.into())),
        false => Ok(bytes),
    }
}

/// Replaces a file with one of these bytes, or leaves it as it was, as far as the disk can be trusted.
///
/// # Errors
///
/// A step failed. The file is whole: the old one, or the new one.
pub fn write(path: &Path, bytes: &[u8]) -> Result<(), FileError> {
    let new = beside(path, "new");
    let mut file = File::create(&new).map_err(|e| with_path(&new, e))?;
    file.write_all(bytes).and_then(|()| file.sync_all()).map_err(|e| with_path(&new, e))?;
    fs::rename(&new, path).map_err(|e| with_path(path, e))?;
    sync_parent(path)
}

/// Makes a rename last.
fn sync_parent(path: &Path) -> Result<(), FileError> {
    let dir = path.parent().filter(|d| !d.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(dir).and_then(|d| d.sync_all()).map_err(|e| with_path(dir, e))
}

fn beside(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{suffix}"));
    name.into()
}

fn trial_path(path: &Path) -> PathBuf {
    beside(path, "trial")
}

impl ReleaseFile {
    /// The digest of what is installed now.
    ///
    /// # Errors
    ///
    /// It can't be read.
    pub fn installed_digest(&self) -> Result<String, FileError> {
        read(&self.path).map(|bytes| digest(&bytes))
    }

    /// What the store has under a digest.
    ///
    /// # Errors
    ///
    /// It can't be read, or is something else.
    pub fn stored_bytes(&self, digest: &str) -> Result<Vec<u8>, FileError> {
        // It comes from others: it must be a name, and lead nowhere out of the store.
        if !is_digest(digest) {
            return Err(FileError::NotADigest);
        }
        let path = self.store_dir.join(digest);
        let bytes = read(&path)?;
        match self::digest(&bytes) == digest {
            true => Ok(bytes),
            false => Err(FileError::WrongDigest(path)),
        }
    }

    /// Installs what the store has under a digest, on trial. What was installed before is kept in the store.
    ///
    /// # Errors
    ///
    /// A step failed. The path still has a whole file: that of before, or the new one on trial.
    pub fn install(&self, digest: &str) -> Result<(), FileError> {
        self.stored_bytes(digest)?;
        let before = read(&self.path)?;
        let previous_digest = self::digest(&before);
        if previous_digest == digest {
            // Installed already, perhaps by an attempt whose last call failed: a new trial would lose the way back.
            return sync_parent(&self.path);
        }
        if self.stored_bytes(&previous_digest).is_err() {
            write(&self.store_dir.join(&previous_digest), &before)?;
        }
        let store_dir = self.store_dir.clone();
        let trial = Trial { previous_digest, installed_digest: digest.into(), store_dir, starts: 0 };
        write(&trial_path(&self.path), &serde_json::to_vec(&trial)?)?;
        replace_with_link(&self.path, &self.store_dir, digest)
    }

    /// Ends the trial: the router serves with what is installed.
    ///
    /// # Errors
    ///
    /// The trial's file can't be removed.
    pub fn confirm(&self) -> Result<(), FileError> {
        match fs::remove_file(trial_path(&self.path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(with_path(&self.path, e)),
            _ => Ok(()),
        }
    }
}

fn replace_with_link(path: &Path, store_dir: &Path, digest: &str) -> Result<(), FileError> {
    let new = beside(path, "new");
    let _ = fs::remove_file(&new);
    // A link to a name in the store that is not absolute would be looked for beside the link.
    let store_dir = fs::canonicalize(store_dir).map_err(|e| with_path(store_dir, e))?;
    std::os::unix::fs::symlink(store_dir.join(digest), &new).map_err(|e| with_path(&new, e))?;
    fs::rename(&new, path).map_err(|e| with_path(path, e))?;
    sync_parent(path)
}

/// At a start, before the file is read: counts the start if the file is on trial, and goes back to the file of before
/// after too many. `None`: there is nothing to tell.
pub fn begin_trial(path: &Path) -> Option<TrialEvent> {
    let marker = trial_path(path);
    let mut trial: Trial = serde_json::from_slice(&fs::read(&marker).ok()?).ok()?;
    trial.starts = trial.starts.saturating_add(1);
    if trial.starts <= MAX_TRIAL_STARTS {
        let bytes = serde_json::to_vec(&trial).ok()?;
        return write(&marker, &bytes).err().map(TrialEvent::NotCounted);
    }
    let Trial { previous_digest, installed_digest, store_dir, .. } = trial;
    let file = ReleaseFile { artifact: String::new(), path: path.into(), store_dir };
    let rolled_back = file
        .stored_bytes(&previous_digest)
        .and_then(|_| replace_with_link(path, &file.store_dir, &previous_digest))
        .and_then(|()| file.confirm());
    Some(match rolled_back {
        Ok(()) => TrialEvent::RolledBack { installed_digest, previous_digest },
        Err(error) => TrialEvent::NotRolledBack { installed_digest, error },
    })
}

#[cfg(test)]
mod tests;
