//! What the letter's size costs, from slopes measured here.
//!
//! [`slopes`] measures each cost at three sizes or more with the code that the
//! programs run; [`rows`] works out every role's load from them and holds it
//! against its limit.

mod costs;
mod decisions;
pub mod rows;
mod size;
pub mod slopes;

use argh::FromArgs;

pub use size::LETTER;
pub use size::Size;
pub use size::TODAY;

/// Measure the slopes and work out the size in two years.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// how often each slope is measured; the median is taken
    #[argh(option, default = "5")]
    pub repeats: usize,
}

/// Prints the slopes, a table of rows, and the closing line.
pub fn run(args: &CapacityArgs) {
    let slopes = slopes::measure(args.repeats.max(1));
    println!("{}", slopes::table(&slopes));
    let rows = rows::work_out(&slopes);
    println!("{}", rows::table(&rows));
    let over = rows.iter().filter(|r| r.is_over()).count();
    println!("capacity: rows={} over_limit={over}", rows.len());
}
