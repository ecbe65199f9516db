//! What the player noted of the days.

use std::path::Path;

use serde::Deserialize;

use super::ExperimentError;
use super::plan::Variant;

/// One day that was played.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// What was switched off.
    pub variant: Variant,
    /// The deployment.
    pub site: String,
    /// The day's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// What callers got less what it cost, of what was owed.
    pub worth: f64,
}

#[derive(Deserialize)]
struct Entry {
    why: Option<String>,
    site: Option<String>,
    #[serde(default)]
    days: Vec<EntryDay>,
}

#[derive(Deserialize)]
struct EntryDay {
    #[serde(rename = "G")]
    worth: Option<f64>,
    name: String,
    seed: u64,
}

/// What an entry says of itself, by which it is found again.
pub(super) fn label(variant: &Variant) -> String {
    format!("trial: without {variant}")
}

/// The days of a variant in a folder of entries; entries of other kinds are
/// passed over.
///
/// # Errors
///
/// When the folder cannot be read.
pub fn read_entries(folder: &Path, variant: &Variant) -> Result<Vec<Day>, ExperimentError> {
    let failed = |e| ExperimentError::File(folder.to_owned(), e);
    let label = label(variant);
    let mut days = Vec::new();
    for file in std::fs::read_dir(folder).map_err(failed)? {
        let path = file.map_err(failed)?.path();
        if path.extension().is_none_or(|e| e != "json") {
            continue;
        }
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|e| ExperimentError::File(path.clone(), e))?;
        let Ok(entry) = serde_json::from_str::<Entry>(&text) else {
            continue;
        };
        if entry.why.as_deref() != Some(&label) {
            continue;
        }
        let site = entry.site.unwrap_or_default();
        days.extend(entry.days.into_iter().filter_map(|d| {
            Some(Day {
                variant: *variant,
                site: site.clone(),
                name: d.name,
                seed: d.seed,
                worth: d.worth?,
            })
        }));
    }
    Ok(days)
}
