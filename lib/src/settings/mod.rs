//! Reads TOML settings files; unknown keys are errors, and each error names the
//! file and the key.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;

/// Why a settings file was rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read {
        /// The settings file.
        file: PathBuf,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    Parse {
        /// The settings file.
        file: PathBuf,
        /// The parser's message with line, key, found and expected value.
        error: String,
    },
    /// A value is out of range.
    Value {
        /// The settings file.
        file: PathBuf,
        /// Dotted path of the key.
        key: &'static str,
        /// The value in the file.
        found: String,
        /// The accepted values.
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
                "{}: {key}: found {found}, expected {allowed}",
                file.display()
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A value that [`Settings::check`] rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadValue {
    /// Dotted path of the key.
    pub key: &'static str,
    /// The value in the file.
    pub found: String,
    /// The accepted values.
    pub allowed: &'static str,
}

/// The settings of one program.
pub trait Settings: DeserializeOwned {
    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// The first value that is out of range.
    fn check(&self) -> Result<(), BadValue>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// When the file cannot be read, is not TOML, has an unknown or missing key,
/// or a value out of range.
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
