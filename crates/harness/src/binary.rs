//! Where the programs under test are.

use std::path::PathBuf;

/// Returns the path of a program of this workspace.
///
/// # Panics
///
/// Panics if the program has not been built.
pub(crate) fn find_binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test knows its own path");
    // Tests and examples are in a folder below that of the programs.
    for folder in test.ancestors().skip(1).take(2) {
        let path = folder.join(name);
        if path.is_file() {
            return path;
        }
    }
    panic!(
        "the program `{name}` is not next to {}; run `cargo build --workspace` first",
        test.display()
    );
}
