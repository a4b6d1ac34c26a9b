//! Seed, temporary folder and port reservations of a test.

use std::collections::HashSet;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

/// Environment variable that sets the seed, to repeat a run.
const SEED_VARIABLE: &str = "WAXWING_SEED";

/// Ports below the ephemeral range of Linux, which begins at 32768.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Ports that tests of this process have reserved.
static RESERVED_PORTS: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

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

    /// Returns a random number generator that is initialised with the seed.
    pub fn new_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed)
    }

    /// Returns the temporary folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Reserves a free port of 127.0.0.1 outside the ephemeral range and returns its address.
    ///
    /// # Panics
    ///
    /// Panics if a lock is poisoned.
    pub fn reserve_address(&self) -> String {
        loop {
            // The port does not come from the seed, since tests that run at the same time must use different ports.
            let port = rand::rng().random_range(PORT_RANGE);
            let mut reserved = RESERVED_PORTS.lock().expect("no test panics here");
            // Connects instead of binding: a child that another test forks at this moment would inherit the listener.
            let is_free = TcpStream::connect(("127.0.0.1", port)).is_err();
            if is_free && reserved.get_or_insert_default().insert(port) {
                return format!("127.0.0.1:{port}");
            }
        }
    }
}
