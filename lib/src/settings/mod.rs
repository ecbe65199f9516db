//! Settings files: TOML, unknown keys refused, each error with file and key.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;

/// Why a settings file was refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read {
        /// Which file.
        file: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// It is not TOML, or a key is unknown, missing or of the wrong type.
    Parse {
        /// Which file.
        file: PathBuf,
        /// Line, key, what was found and what is allowed.
        error: String,
    },
    /// A value is out of its range.
    Value {
        /// Which file.
        file: PathBuf,
        /// The key, with dots.
        key: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, error } => write!(f, "{}: {error}", file.display()),
            Self::Parse { file, error } => write!(f, "{}: {error}", file.display()),
            Self::Value {
                file,
                key,
                found,
                allowed,
            } => write!(
                f,
                "{}: {key}: found {found}, allowed is {allowed}",
                file.display()
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A value that a check refused: its key, what was found, what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadValue {
    /// The key, with dots.
    pub key: &'static str,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Settings of one program.
pub trait Settings: DeserializeOwned {
    /// Checks the ranges of the values.
    ///
    /// # Errors
    ///
    /// The first value that is out of its range.
    fn check(&self) -> Result<(), BadValue>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// When the file cannot be read, is not TOML, has an unknown or missing key,
/// or a value out of its range.
pub fn load<S: Settings>(file: &Path) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|error| SettingsError::Read {
        file: file.to_owned(),
        error,
    })?;
    let settings: S = toml::from_str(&text).map_err(|e| SettingsError::Parse {
        file: file.to_owned(),
        error: e.to_string(),
    })?;
    settings.check().map_err(|bad| SettingsError::Value {
        file: file.to_owned(),
        key: bad.key,
        found: bad.found,
        allowed: bad.allowed,
    })?;
    Ok(settings)
}
