//! The committed generated code matches the `.proto` file.

use std::path::Path;

const COMMITTED: &str = "src/generated.rs";

fn generate(out_dir: &Path) -> String {
    let set = protox::compile(["sailtrack.proto"], ["."]).expect("the proto file compiles");
    prost_build::Config::new()
        .out_dir(out_dir)
        .bytes(["."])
        .skip_debug(["sailtrack.wire.Config"])
        .compile_fds(set)
        .expect("code can be generated");
    std::fs::read_to_string(out_dir.join("sailtrack.wire.rs")).expect("code was generated")
}

/// Run with `SAILTRACK_REGENERATE=1` to regenerate the committed file.
#[test]
fn committed_code_agrees() {
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let generated = generate(scratch);
    if std::env::var_os("SAILTRACK_REGENERATE").is_some() {
        std::fs::write(COMMITTED, &generated).expect("the committed file can be written");
    }
    let committed = std::fs::read_to_string(COMMITTED).expect("the committed file can be read");
    assert_eq!(
        committed, generated,
        "run with SAILTRACK_REGENERATE=1 and commit the result"
    );
}
