//! The committed scenario files can be read.

use std::path::Path;

use waxwing_harness::scenario::Scenario;

/// Guards against a scenario that no longer fits the program, and against misspelt keys that would be ignored.
#[test]
fn all_scenarios_parse() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut found = 0;
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("an entry").path();
        let scenario = Scenario::read(&path.display().to_string());
        let scenario = scenario.unwrap_or_else(|error| panic!("{error}"));
        assert!(!scenario.load.streams.is_empty());
        let text = std::fs::read_to_string(&path).expect("a text");
        let misspelt = path.with_file_name(format!("misspelt-{}.tmp", scenario.name));
        let misspelt = std::env::temp_dir().join(misspelt.file_name().expect("a name"));
        std::fs::write(&misspelt, text.replace("tokens = ", "tokenz = "))
            .expect("a writable folder");
        assert!(Scenario::read(&misspelt.display().to_string()).is_err());
        found += 1;
    }
    assert_eq!(found, 2);
}
