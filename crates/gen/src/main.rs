//! Generates the code of `bn-wire` from its schema. Not part of the default build: run
//! `cargo run -p bn-gen` after changing `crates/wire/proto`. CI compares the result.

use std::error::Error;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn Error>> {
    let wire = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto = wire.join("proto");
    let files = ["messages.proto", "settings.proto"].map(|f| proto.join(f));
    let set = protox::compile(files, [&proto])?;
    prost_build::Config::new()
        .out_dir(wire.join("src/gen"))
        .btree_map(["."])
        .type_attribute(
            ".bn.settings",
            "#[derive(serde::Serialize, serde::Deserialize)]",
        )
        .type_attribute(".bn.settings", "#[serde(default)]")
        .compile_fds(set)?;
    Ok(())
}
