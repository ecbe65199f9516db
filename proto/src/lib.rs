//! Messages and services between banyangauge processes.
//!
//! The code below is generated from `proto/banyan.proto` by the codegen crate
//! and committed, so that a build needs no generator.

#[expect(
    missing_docs,
    reason = "generated code; the comments stand in banyan.proto"
)]
mod generated {
    include!("generated/banyan.v1.rs");
}

pub use generated::*;
