//! Files that a release may replace. The program or its supervisor reads each file at a fixed path. All versions are kept
//! in a store directory under their digests; installing a version replaces the path by a symbolic link into the store, with
//! a rename.
//!
//! An installed file is on trial until the fleet has agreed that the router serves with it. Each start of the program
//! counts against the trial. After too many starts the previous file is installed again, so a file with which the program
//! does not come up is rolled back without help.
//!
//! Disks are not trusted: a file is identified by its digest, which is computed anew at each read. If a disk loses a write
//! that it reported as synced, the program starts with the previous file, and the fleet notices by the reported digest.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// Number of starts on trial after which the previous file is installed again. One or two crashes may have other causes.
const MAX_TRIAL_STARTS: u32 = 3;
/// Maximum size of a released file, in bytes. Files are read into memory; programs are far smaller.
const MAX_FILE_BYTES: u64 = 256 << 20;
/// Number of hex digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// A file that a release may replace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseFile {
    /// Name of the artifact in release plans.
    pub artifact: String,
    /// Path at which the program or its supervisor reads the file.
    pub path: PathBuf,
    /// Directory that holds the versions of the file, each named by its digest.
    pub store_dir: PathBuf,
}

/// Content of the trial marker, a JSON file beside the installed file.
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
    /// An I/O operation failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the file or directory on which the operation failed.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is longer than `MAX_FILE_BYTES`.
    #[error("{}: the file is longer than {MAX_FILE_BYTES} bytes", .0.display())]
    TooLong(PathBuf),
    /// The name of a version does not have the form of a digest.
    #[error("the name of the released file is not a digest")]
    NotADigest,
    /// The content of a file in the store does not match the digest in its name.
    #[error("{}: the content does not match the digest in the name", .0.display())]
    WrongDigest(PathBuf),
    /// The trial marker or the stored state can't be encoded as JSON.
    #[error("{0}")]
    NotEncodable(#[from] serde_json::Error),
}

impl FileError {
    /// Returns the kind of the I/O error; `InvalidData` for all other errors.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            FileError::Io { source, .. } => source.kind(),
            _ => io::ErrorKind::InvalidData,
        }
    }
}

/// Event of a trial at the start of the program, to be logged for the operator.
#[derive(Debug)]
pub enum TrialEvent {
    /// The start can't be counted. A trial that fails would not be rolled back.
    NotCounted(FileError),
    /// The trial had too many starts, and the previous file is installed again.
    RolledBack {
        /// Digest of the file whose trial failed.
        installed_digest: String,
        /// Digest of the file that is installed now.
        previous_digest: String,
    },
    /// The trial had too many starts, and the previous file can't be installed.
    NotRolledBack {
        /// Digest of the file whose trial failed and that is still installed.
        installed_digest: String,
        /// Why the roll-back failed.
        error: FileError,
    },
}

impl fmt::Display for TrialEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TrialEvent::NotCounted(error) => {
                write!(f, "the start of a released file on trial can't be counted: {error}")
            }
            TrialEvent::RolledBack { installed_digest, previous_digest } => write!(
                f,
                "released file {installed_digest} did not reach service in {MAX_TRIAL_STARTS} starts: \
                 rolled back to {previous_digest}"
            ),
            TrialEvent::NotRolledBack { installed_digest, error } => {
                write!(f, "released file {installed_digest} did not reach service, and its roll-back failed: {error}")
            }
        }
    }
}

/// Returns the digest of a file's bytes, in hex.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// Returns whether a text has the form of a digest.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn io_error(path: &Path, source: io::Error) -> FileError {
    FileError::Io { path: path.into(), source }
}

/// Reads a file into memory.
///
/// # Errors
///
/// The file can't be read, or is longer than `MAX_FILE_BYTES`.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| io_error(path, e))?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| io_error(path, e))?;
    match bytes.len() as u64 > MAX_FILE_BYTES {
        true => Err(FileError::TooLong(path.into())),
        false => Ok(bytes),
    }
}

/// Replaces a file atomically with a new one of these bytes, provided that the disk honours syncs and renames.
///
/// # Errors
///
/// A step failed. The path holds either the complete old file or the complete new one.
pub fn write(path: &Path, bytes: &[u8]) -> Result<(), FileError> {
    let new = sibling_path(path, "new");
    let mut file = File::create(&new).map_err(|e| io_error(&new, e))?;
    file.write_all(bytes).and_then(|()| file.sync_all()).map_err(|e| io_error(&new, e))?;
    fs::rename(&new, path).map_err(|e| io_error(path, e))?;
    sync_parent(path)
}

/// Syncs the parent directory, so that a rename in it survives a crash.
fn sync_parent(path: &Path) -> Result<(), FileError> {
    let dir = path.parent().filter(|d| !d.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(dir).and_then(|d| d.sync_all()).map_err(|e| io_error(dir, e))
}

fn sibling_path(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{suffix}"));
    name.into()
}

fn trial_path(path: &Path) -> PathBuf {
    sibling_path(path, "trial")
}

impl ReleaseFile {
    /// Returns the digest of the installed file.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    pub fn installed_digest(&self) -> Result<String, FileError> {
        read(&self.path).map(|bytes| digest(&bytes))
    }

    /// Returns the content that the store holds under a digest.
    ///
    /// # Errors
    ///
    /// The name is not a digest, the file can't be read, or its content does not match the digest.
    pub fn stored_bytes(&self, digest: &str) -> Result<Vec<u8>, FileError> {
        // The digest comes from other routers and is used as a file name: a path could lead out of the store.
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

    /// Installs the version with this digest from the store, on trial. The previous version is kept in the store.
    ///
    /// # Errors
    ///
    /// A step failed. The path holds a complete file: either the previous one, or the new one on trial.
    pub fn install(&self, digest: &str) -> Result<(), FileError> {
        self.stored_bytes(digest)?;
        let previous = read(&self.path)?;
        let previous_digest = self::digest(&previous);
        if previous_digest == digest {
            // Already installed, perhaps by an attempt whose last step failed. A new trial marker would name this version
            // as the previous one, and the trial could no longer be rolled back.
            return sync_parent(&self.path);
        }
        if self.stored_bytes(&previous_digest).is_err() {
            write(&self.store_dir.join(&previous_digest), &previous)?;
        }
        let store_dir = self.store_dir.clone();
        let trial = Trial { previous_digest, installed_digest: digest.into(), store_dir, starts: 0 };
        write(&trial_path(&self.path), &serde_json::to_vec(&trial)?)?;
        replace_with_link(&self.path, &self.store_dir, digest)
    }

    /// Ends the trial, as the router serves with the installed file.
    ///
    /// # Errors
    ///
    /// The trial marker can't be removed.
    pub fn confirm(&self) -> Result<(), FileError> {
        match fs::remove_file(trial_path(&self.path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io_error(&self.path, e)),
            _ => Ok(()),
        }
    }
}

fn replace_with_link(path: &Path, store_dir: &Path, digest: &str) -> Result<(), FileError> {
    let new = sibling_path(path, "new");
    let _ = fs::remove_file(&new);
    // The target must be absolute: a relative one would be resolved from the directory of the link.
    let store_dir = fs::canonicalize(store_dir).map_err(|e| io_error(store_dir, e))?;
    std::os::unix::fs::symlink(store_dir.join(digest), &new).map_err(|e| io_error(&new, e))?;
    fs::rename(&new, path).map_err(|e| io_error(path, e))?;
    sync_parent(path)
}

/// Counts a start of the program if the file is on trial, and installs the previous file again after too many starts. Must
/// be called before the file is read. Returns the event to be logged, if any.
pub fn record_trial_start(path: &Path) -> Option<TrialEvent> {
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
