//! Parses what operators provide: intents, plans and settings.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::catalog::Intent;
use crate::catalog::Plan;
use crate::link::LinkSettings;
use crate::settings::BadValue;
use crate::settings::Settings;

/// The settings of `banyan`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSettings {
    /// Control processes, tried in this order.
    pub control: Vec<SocketAddr>,
    /// The file that contains the operator's key.
    pub key_file: Option<PathBuf>,
    /// Keys for mutual TLS; connections are plain TCP without them.
    pub link: Option<LinkSettings>,
}

impl Settings for ClientSettings {
    fn check(&self) -> Result<(), BadValue> {
        match self.control.is_empty() {
            false => Ok(()),
            true => Err(BadValue {
                key: "control",
                found: "none".to_owned(),
                allowed: "one address or more",
            }),
        }
    }
}

/// Why an intent or a plan could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InputError {
    /// The intent is not valid TOML or JSON, or does not match the schema.
    Intent(String),
    /// The plan is not valid JSON, or does not match the schema.
    Plan(String),
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Intent(e) => write!(f, "invalid intent: {e}"),
            Self::Plan(e) => write!(f, "invalid plan: {e}"),
        }
    }
}

impl std::error::Error for InputError {}

/// Parses an intent: as JSON if it starts with a brace, otherwise as TOML.
///
/// # Errors
///
/// When the text is malformed, or a change is unknown or incomplete.
///
/// ```
/// let intent = banyangauge::operator::parse_intent(
///     r#"
///     [[changes]]
///     change = "serve"
///     team = "laundry"
///     adapter = "rosters"
///     version = 3
///     "#,
/// );
/// assert_eq!(intent.unwrap().changes.len(), 1);
/// ```
pub fn parse_intent(text: &str) -> Result<Intent, InputError> {
    match text.trim_start().starts_with('{') {
        true => serde_json::from_str(text).map_err(|e| InputError::Intent(e.to_string())),
        false => toml::from_str(text).map_err(|e| InputError::Intent(e.to_string())),
    }
}

/// Parses a plan in the JSON format that `banyan plan` writes.
///
/// # Errors
///
/// When the text is not a valid plan.
pub fn parse_plan(text: &str) -> Result<Plan, InputError> {
    serde_json::from_str(text).map_err(|e| InputError::Plan(e.to_string()))
}
