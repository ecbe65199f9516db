//! Generates the Rust code of `proto/` from its `.proto` files.
//!
//! Run it with `cargo run -p banyangauge-codegen`; CI runs it and checks that
//! the committed files are up to date.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .ok_or("the codegen crate has no parent folder")?;
    let dir = root.join("proto/proto");
    let set = protox::compile(["banyan.proto"], [&dir])?;
    tonic_prost_build::configure()
        .btree_map(".")
        .bytes(".")
        // Boxed because it is far larger than the other variants.
        .boxed(".banyan.v1.Datagram.body.beacon")
        .out_dir(root.join("proto/src/generated"))
        .compile_fds(set)?;
    Ok(())
}
