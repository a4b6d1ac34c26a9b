//! What a test reads of a process right after its start.

use std::fs;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use waxwing_harness::Process;
use waxwing_harness::Run;

/// Memory of the test process, far more than the program needs.
const TEST_BYTES: usize = 200_000_000;

const PROGRAM_BYTES_MAX: u64 = 100_000_000;

const STARTS: usize = 200;

/// Returns the name of a process and the most memory that it has had, in bytes.
fn read_status(process: &Process) -> (String, u64) {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let field = |name| {
        let value = status.lines().find_map(|line| line.strip_prefix(name));
        value.map(str::trim).unwrap_or_default()
    };
    let peak = field("VmHWM:").split(' ').next().unwrap_or_default();
    let peak_kibibytes: u64 = peak.parse().unwrap_or(0);
    (field("Name:").to_owned(), peak_kibibytes * 1_024)
}

/// A child has the memory of its parent until it executes its program, and the start may return before that.
#[test]
fn own_memory() {
    let run = Run::new();
    let memory = vec![1_u8; TEST_BYTES];
    let is_over = AtomicBool::new(false);
    let statuses = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                // Changes of the address space delay the child, which reads it once more.
                while !is_over.load(Ordering::Relaxed) {
                    thread::Builder::new().spawn(|| ()).unwrap().join().unwrap();
                }
            });
        }
        let arguments = vec!["--version".to_owned()];
        let mut process = Process::start(&run, "program", "waxwingrouter", arguments);
        let mut statuses = vec![read_status(&process)];
        for _ in 1..STARTS {
            process.restart();
            statuses.push(read_status(&process));
        }
        is_over.store(true, Ordering::Relaxed);
        statuses
    });
    assert_eq!(memory.len(), TEST_BYTES);
    let early = statuses
        .iter()
        .filter(|(name, peak_bytes)| name != "waxwingrouter" || *peak_bytes > PROGRAM_BYTES_MAX)
        .count();
    assert_eq!(early, 0, "of {STARTS} starts");
}
