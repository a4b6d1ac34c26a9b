//! What the processes of one test have in common.

use std::collections::HashSet;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

/// Environment variable that repeats a run.
const SEED_VARIABLE: &str = "WAXWING_SEED";

/// Ports below the range from which Linux takes the ports of outgoing connections (32768 and above).
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports that tests of this process have taken.
static TAKEN: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

/// One run of a test: its seed and its temporary folder.
#[derive(Clone, Debug)]
pub struct Run {
    seed: u64,
    folder: Arc<TempDir>,
}

impl Run {
    /// Starts a run and prints its seed.
    ///
    /// # Panics
    ///
    /// Panics if the temporary folder cannot be created or the seed in the environment is not a number.
    #[expect(
        clippy::new_without_default,
        reason = "a run prints and creates a folder"
    )]
    pub fn new() -> Self {
        let seed = match std::env::var(SEED_VARIABLE) {
            Ok(text) => text.parse().expect("WAXWING_SEED is a number"),
            Err(_) => rand::random(),
        };
        println!("seed: {SEED_VARIABLE}={seed}");
        let folder = TempDir::with_prefix("waxwing-").expect("a temporary folder can be created");
        Self {
            seed,
            folder: Arc::new(folder),
        }
    }

    /// Returns the seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns a random source that depends only on the seed.
    pub fn new_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed)
    }

    /// Returns the temporary folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns an address of 127.0.0.1 with a free port that no outgoing connection takes.
    ///
    /// # Panics
    ///
    /// Panics if a lock is poisoned.
    pub fn reserve_address(&self) -> String {
        loop {
            // Not from the seed: tests that run at the same time must differ.
            let port = rand::rng().random_range(PORTS);
            let mut taken = TAKEN.lock().expect("no test panics here");
            // A listener, bound to try the port, would live on in a child that another test starts just now.
            let is_free = TcpStream::connect(("127.0.0.1", port)).is_err();
            if is_free && taken.get_or_insert_default().insert(port) {
                return format!("127.0.0.1:{port}");
            }
        }
    }
}
