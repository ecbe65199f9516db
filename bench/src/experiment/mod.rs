//! What each mechanism of the serving path is worth: days are played with one
//! of them switched off at a time.
//!
//! The days are played by a program of the users, named in the plan; it leaves
//! an entry for each day in the folder `journal` of the checkout that it runs
//! in. So each variant gets a checkout of its own, and what is in its journal
//! already is not played again.

mod entries;
mod plan;
mod play;
mod plot;
mod table;

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

pub use entries::Day;
pub use entries::read_entries;
pub use plan::Plan;
pub use table::Worth;
pub use table::worths;
pub use table::write_table;

/// Why an experiment ended.
#[derive(Debug)]
pub enum ExperimentError {
    /// A file could not be read or written.
    File(PathBuf, std::io::Error),
    /// The plan is wrong.
    Plan(String),
    /// A program could not be run, or failed.
    Command(String),
    /// The picture could not be drawn.
    Plot(String),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, e) => write!(f, "{}: {e}", path.display()),
            Self::Plan(e) => write!(f, "plan: {e}"),
            Self::Command(e) => write!(f, "{e}"),
            Self::Plot(e) => write!(f, "picture: {e}"),
        }
    }
}

impl std::error::Error for ExperimentError {}

/// Plays what is left of a plan, and writes `table.md` and `table.svg` into its
/// folder.
///
/// # Errors
///
/// When a file or a program fails; what was played is kept.
pub fn run(plan: &Plan) -> Result<(), ExperimentError> {
    let mut days = Vec::new();
    for variant in plan.variants() {
        let checkout = play::prepare(plan, &variant)?;
        play::play(plan, &variant, &checkout)?;
        days.extend(read_entries(&checkout.join("journal"), &variant)?);
    }
    let worths = worths(&days);
    write(&plan.folder.join("table.md"), &write_table(&worths))?;
    plot::write(&plan.folder.join("table.svg"), &worths)
}

fn write(path: &Path, text: &str) -> Result<(), ExperimentError> {
    std::fs::write(path, text).map_err(|e| ExperimentError::File(path.to_owned(), e))
}
