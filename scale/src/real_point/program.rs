//! Locates the real proxy's program, and creates the directory for configuration files.

use std::io;
use std::path::{Path, PathBuf};

/// File name of the real proxy's program.
const PROGRAM_NAME: &str = "load-balancer-proxy";

/// Error while locating the real proxy.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The path of this program could not be determined.
    #[error("cannot determine the path of this program: {0}")]
    OwnPath(io::Error),
    /// There is no file at this path.
    #[error("program: expected the built proxy at {}", .0.display())]
    NotFound(PathBuf),
}

/// Returns the path of the real proxy: the configured one, or the one in the directory of this program.
pub fn find_program(configured: Option<&Path>) -> Result<PathBuf, ProgramError> {
    let own_path = std::env::current_exe().map_err(ProgramError::OwnPath)?;
    let path = configured.map_or_else(|| own_path.with_file_name(PROGRAM_NAME), Path::to_path_buf);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::NotFound(path))
    }
}

/// The directory for configuration files could not be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create the directory {}: {source}", path.display())]
pub struct WorkDirectoryError {
    path: PathBuf,
    source: io::Error,
}

/// A temporary directory for configuration files, removed on drop.
pub struct WorkDirectory {
    path: PathBuf,
}

impl WorkDirectory {
    /// Creates the directory in the system's temporary directory, named after this process's id.
    pub fn create() -> Result<WorkDirectory, WorkDirectoryError> {
        let path = std::env::temp_dir().join(format!("scale-test-{}", std::process::id()));
        match std::fs::create_dir_all(&path) {
            Ok(()) => Ok(WorkDirectory { path }),
            Err(source) => Err(WorkDirectoryError { path, source }),
        }
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
