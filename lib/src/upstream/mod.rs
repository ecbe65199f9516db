//! Upstreams: model engines and plain services.

mod orders;
mod report;

pub use orders::Fence;
pub use orders::OrderError;
pub use orders::Orders;
pub use report::Report;
pub use report::read_report;
