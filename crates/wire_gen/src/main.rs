//! Writes the generated code of `usher_wire` from its proto file.
//!
//! Run it from the root of the repository: `cargo run -p wire_gen`. The result is committed.

use std::{error, path};

/// Folder of the crate that holds the proto file and the generated code.
const WIRE_FOLDER: &str = "crates/usher_wire";

fn main() -> Result<(), Box<dyn error::Error>> {
    let folder = path::Path::new(WIRE_FOLDER);
    let includes = [folder.join("proto")];
    let files = protox::compile([includes[0].join("usher.proto")], &includes)?;
    prost_build::Config::new()
        .out_dir(folder.join("src/generated"))
        .compile_fds(files)?;
    Ok(())
}
