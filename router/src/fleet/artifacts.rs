//! Releasable files of this router: digests of the running versions, validation of new versions, and installation.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::control::{InvalidArtifact, RouterControl};
use super::disk::{self, DiskError};
use super::release_files::{FileError, ReleaseFile};

/// Why a released file can't be validated or installed.
#[derive(Debug, thiserror::Error)]
pub enum ArtifactError {
    /// The router's settings have no `release` entry for this artifact.
    #[error("the router's settings have no `release` entry for `{0}`")]
    NotInSettings(String),
    /// A file operation failed.
    #[error("{0}")]
    Disk(#[from] DiskError<FileError>),
    /// The router could not start with the released file.
    #[error("{0}")]
    Invalid(#[from] InvalidArtifact),
}

/// The releasable files of this router.
pub struct Artifacts {
    control: Rc<dyn RouterControl>,
    files: Vec<ReleaseFile>,
    /// Digest of the running version, by artifact name.
    running_digests: BTreeMap<String, String>,
    /// Digest that was validated last. Avoids repeated validation while the router waits for its drain lease.
    last_valid_digest: RefCell<Option<String>>,
}

impl Artifacts {
    /// Reads the installed files, which are the ones the process was started with, and records their digests.
    ///
    /// # Errors
    ///
    /// An installed file can't be read.
    pub fn open(files: &[ReleaseFile], control: Rc<dyn RouterControl>) -> Result<Artifacts, FileError> {
        let running_digests = files.iter().map(|file| Ok((file.artifact.clone(), file.installed_digest()?)));
        let running_digests = running_digests.collect::<Result<_, FileError>>()?;
        Ok(Artifacts {
            control,
            files: files.to_vec(),
            running_digests,
            last_valid_digest: RefCell::default(),
        })
    }

    /// Returns the digest of the running version; `None` if the settings have no `release` entry for the artifact.
    pub fn running_digest(&self, artifact: &str) -> Option<&str> {
        self.running_digests.get(artifact).map(String::as_str)
    }

    /// Checks that the store has a file with this digest and that the router could start with it.
    ///
    /// # Errors
    ///
    /// The file is missing from the store, unreadable or invalid.
    pub async fn validate(&self, artifact: &str, digest: &str) -> Result<(), ArtifactError> {
        if self.last_valid_digest.borrow().as_deref() == Some(digest) {
            return Ok(());
        }
        let owned_digest = digest.to_string();
        let bytes = self.on_disk(artifact, move |file| file.stored_bytes(&owned_digest)).await?;
        self.control.validate_artifact(artifact, &bytes)?;
        self.last_valid_digest.replace(Some(digest.into()));
        Ok(())
    }

    /// Installs a file of the store, on trial.
    ///
    /// # Errors
    ///
    /// A step failed. Either the previous file is still installed, or the new one is installed on trial.
    pub async fn install(&self, artifact: &str, digest: &str) -> Result<(), ArtifactError> {
        let digest = digest.to_string();
        self.on_disk(artifact, move |file| file.install(&digest)).await
    }

    /// Ends the trial of the installed file.
    ///
    /// # Errors
    ///
    /// The trial marker can't be removed.
    pub async fn confirm(&self, artifact: &str) -> Result<(), ArtifactError> {
        self.on_disk(artifact, |file| file.confirm()).await
    }

    async fn on_disk<T: Send + 'static>(
        &self,
        artifact: &str,
        operation: impl FnOnce(ReleaseFile) -> Result<T, FileError> + Send + 'static,
    ) -> Result<T, ArtifactError> {
        let file = self.files.iter().find(|file| file.artifact == artifact).cloned();
        let file = file.ok_or_else(|| ArtifactError::NotInSettings(artifact.into()))?;
        Ok(disk::run(move || operation(file)).await?)
    }
}
