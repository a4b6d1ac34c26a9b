//! Locates the programs under test.

use std::env;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Names the folder with the programs of another build.
const OTHER_BUILD_VARIABLE: &str = "WAXWING_OTHER_BUILD";

/// The only program that is also taken from the other build.
const ALTERNATING_PROGRAM: &str = "waxwingrouter";

/// Starts of the alternating program in this process, restarts included.
static ALTERNATING_STARTS: AtomicUsize = AtomicUsize::new(0);

/// Chooses the executable for one start of a program.
///
/// If `WAXWING_OTHER_BUILD` names a folder, every second start of `waxwingrouter` takes the program from there, so that
/// daemons of two builds run side by side and restarts move daemons between them. Starts are counted across all tests
/// of the process. All other programs, and all programs without the variable, are those of this build.
///
/// # Panics
///
/// Panics if the program is missing from the chosen build.
pub(crate) fn choose_binary(name: &str) -> PathBuf {
    let Some(other_build) = env::var_os(OTHER_BUILD_VARIABLE) else {
        return find_binary(name);
    };
    if name != ALTERNATING_PROGRAM {
        return find_binary(name);
    }
    let start = ALTERNATING_STARTS.fetch_add(1, Ordering::Relaxed) + 1;
    if !start.is_multiple_of(2) {
        println!("start {start} of `{name}` takes this build");
        return find_binary(name);
    }
    let path = PathBuf::from(other_build).join(name);
    assert!(
        path.is_file(),
        "{OTHER_BUILD_VARIABLE} names a folder without the program: {}",
        path.display()
    );
    println!(
        "start {start} of `{name}` takes the other build, {}",
        path.display()
    );
    path
}

/// Returns the path of a program of this workspace.
///
/// # Panics
///
/// Panics if the program has not been built.
fn find_binary(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the path of the test program is available");
    // Cargo puts tests and examples into a folder below that of the programs.
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
