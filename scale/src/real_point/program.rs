//! Where the real proxy is, and where its configuration files go.

use std::io;
use std::path::{Path, PathBuf};

/// The file name of the real proxy.
const PROGRAM_NAME: &str = "load-balancer-proxy";

/// Why the real proxy was not found.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The path of this program is not known.
    #[error("the path of this program: {0}")]
    OwnPath(io::Error),
    /// There is no file at the path.
    #[error("program: expected the built proxy at {}", .0.display())]
    NotFound(PathBuf),
}

/// The real proxy: at the configured path, or beside this program.
pub fn find_program(configured: Option<&Path>) -> Result<PathBuf, ProgramError> {
    let own = std::env::current_exe().map_err(ProgramError::OwnPath)?;
    let path = configured.map_or_else(|| own.with_file_name(PROGRAM_NAME), Path::to_path_buf);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::NotFound(path))
    }
}

/// The directory could not be made.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct WorkDirectoryError {
    path: PathBuf,
    source: io::Error,
}

/// A directory for configuration files; it is removed when this is dropped.
pub struct WorkDirectory {
    path: PathBuf,
}

impl WorkDirectory {
    /// Makes one of this process's own.
    pub fn create() -> Result<WorkDirectory, WorkDirectoryError> {
        let path = std::env::temp_dir().join(format!("scale-test-{}", std::process::id()));
        match std::fs::create_dir_all(&path) {
            Ok(()) => Ok(WorkDirectory { path }),
            Err(source) => Err(WorkDirectoryError { path, source }),
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
