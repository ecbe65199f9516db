//! Reads input files and writes results.

use std::path::Path;

use serde_json::Value;

use super::CommandError;

pub(super) fn read(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|e| CommandError::Usage(format!("{}: {e}", file.display())))
}

pub(super) fn write(file: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(file, text).map_err(|e| CommandError::Usage(format!("{}: {e}", file.display())))
}

/// Prints a result as JSON or as text; only the chosen form is computed.
pub(super) fn print(json: bool, text: impl FnOnce() -> String, value: impl FnOnce() -> Value) {
    match json {
        true => println!("{}", value()),
        false => print!("{}", text()),
    }
}
