//! Free addresses stay free until the process that they are for binds them.

use std::net::TcpListener;
use std::thread;

use waxwing_harness::Run;

const THREADS: usize = 8;
const ADDRESSES: usize = 2_000;

/// Guards against a search for a free port that binds a port which another test was given but has not bound yet
/// (leaving_engines, seed 11980488843376238410: "Address already in use").
#[test]
fn bound_by_owner() {
    let mut threads = Vec::new();
    for _ in 0..THREADS {
        threads.push(thread::spawn(|| {
            let run = Run::new();
            let mut refused = Vec::new();
            for _ in 0..ADDRESSES {
                let address = run.reserve_address();
                // A VM is told all its addresses before it binds the first.
                thread::yield_now();
                if TcpListener::bind(&address).is_err() {
                    refused.push(address);
                }
            }
            refused
        }));
    }
    let mut refused = Vec::new();
    for thread in threads {
        refused.extend(thread.join().expect("a thread ends"));
    }
    assert!(refused.is_empty(), "{refused:?}");
}
