//! The files of this router that a release may change: what runs, whether a new one would, and its installation.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::control::{InvalidArtifact, RouterControl};
use super::disk::{self, DiskError};
use super::release_files::{FileError, ReleaseFile};

/// Why a released file can't be run or installed.
#[derive(Debug, thiserror::Error)]
pub enum ArtifactError {
    /// The settings name no file of this kind.
    #[error("its settings have no place for `{0}`")]
    NotInSettings(String),
    /// Its files can't be read or written.
    #[error("{0}")]
    Disk(#[from] DiskError<FileError>),
    /// The router could not start with it.
    #[error("{0}")]
    Invalid(#[from] InvalidArtifact),
}

/// The files that a release may change.
pub struct Artifacts {
    control: Rc<dyn RouterControl>,
    files: Vec<ReleaseFile>,
    /// The digest of what runs, by the artifact's name.
    running: BTreeMap<String, String>,
    /// The digest that was found valid last: a check is not repeated while a lease is waited for.
    last_valid: RefCell<Option<String>>,
}

impl Artifacts {
    /// Reads what runs: the files that the process was started with.
    ///
    /// # Errors
    ///
    /// One of them can't be read.
    pub fn open(files: &[ReleaseFile], control: Rc<dyn RouterControl>) -> Result<Artifacts, FileError> {
        let running = files.iter().map(|file| Ok((file.artifact.clone(), file.installed_digest()?)));
        let running = running.collect::<Result<_, FileError>>()?;
        Ok(Artifacts { control, files: files.to_vec(), running, last_valid: RefCell::default() })
    }

    /// The digest of what runs; `None`: the settings name no such file.
    pub fn running_digest(&self, artifact: &str) -> Option<&str> {
        self.running.get(artifact).map(String::as_str)
    }

    /// Checks that the store has a file of this digest, and that the router could start with it.
    ///
    /// # Errors
    ///
    /// Why it could not.
    pub async fn validate(&self, artifact: &str, digest: &str) -> Result<(), ArtifactError> {
        if self.last_valid.borrow().as_deref() == Some(digest) {
            return Ok(());
        }
        let wanted = digest.to_string();
        let bytes = self.on_disk(artifact, move |file| file.stored_bytes(&wanted)).await?;
        self.control.validate_artifact(artifact, &bytes)?;
        self.last_valid.replace(Some(digest.into()));
        Ok(())
    }

    /// Installs a file of the store, on trial.
    ///
    /// # Errors
    ///
    /// What failed. What was installed before stays, or the new one is on trial.
    pub async fn install(&self, artifact: &str, digest: &str) -> Result<(), ArtifactError> {
        let digest = digest.to_string();
        self.on_disk(artifact, move |file| file.install(&digest)).await
    }

    /// Ends the trial of what is installed.
    ///
    /// # Errors
    ///
    /// The trial's marker can't be removed.
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
