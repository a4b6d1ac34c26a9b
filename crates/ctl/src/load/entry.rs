//! Entry addresses, as a caller keeps them.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use attohttpc::ProxySettings;
use attohttpc::Session;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_wire::caller;

use crate::load::Error;
use crate::load::Result;

/// Time for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time for a discovery answer, in milliseconds.
const DISCOVERY_TIMEOUT_MS: u64 = 2_000;

/// Lifetime of addresses that were given on the command line, in seconds: longer than any run.
const FIXED_LIFETIME_S: u64 = 24 * 3_600;

/// The addresses that callers use, kept for the lifetime that came with them.
pub(crate) struct Entries {
    inner: Mutex<Inner>,
}

struct Inner {
    seeds: Vec<String>,
    known: caller::Entries,
    until: Instant,
    random: ChaCha8Rng,
}

impl Entries {
    /// Asks the first address that answers.
    pub(crate) fn discover(seeds: &[String], seed: u64) -> Result<Self> {
        let known = ask(seeds).ok_or_else(|| Error::NoEntry {
            addresses: seeds.join(", "),
        })?;
        Ok(Self::new(seeds, seed, known))
    }

    /// Uses the addresses as they are, with equal weights and for as long as the process runs.
    pub(crate) fn fixed(addresses: &[String], seed: u64) -> Self {
        let mut known = caller::Entries {
            entries: Vec::new(),
            lifetime_s: FIXED_LIFETIME_S,
        };
        for address in addresses {
            known.entries.push(caller::Entry {
                address: address.clone(),
                data_centre: String::new(),
                weight: 1,
            });
        }
        Self::new(addresses, seed, known)
    }

    fn new(seeds: &[String], seed: u64, known: caller::Entries) -> Self {
        let until = Instant::now() + Duration::from_secs(known.lifetime_s);
        Self {
            inner: Mutex::new(Inner {
                seeds: seeds.to_vec(),
                known,
                until,
                random: ChaCha8Rng::seed_from_u64(seed),
            }),
        }
    }

    /// Returns an address by weight, other than `avoided` where there is a choice.
    pub(crate) fn choose(&self, avoided: Option<&str>) -> String {
        let mut inner = self
            .inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        inner.refresh();
        inner.choose(avoided)
    }
}

impl Inner {
    fn refresh(&mut self) {
        if Instant::now() < self.until {
            return;
        }
        let mut addresses: Vec<String> = self
            .known
            .entries
            .iter()
            .map(|entry| entry.address.clone())
            .collect();
        addresses.extend(self.seeds.iter().cloned());
        if let Some(known) = ask(&addresses) {
            self.known = known;
        }
        self.until = Instant::now() + Duration::from_secs(self.known.lifetime_s.max(1));
    }

    fn choose(&mut self, avoided: Option<&str>) -> String {
        let entries = &self.known.entries;
        let is_usable =
            |entry: &&caller::Entry| entries.len() < 2 || Some(entry.address.as_str()) != avoided;
        let total: u32 = entries
            .iter()
            .filter(is_usable)
            .map(|entry| entry.weight)
            .sum();
        let mut left = self.random.random_range(0..total.max(1));
        for entry in entries.iter().filter(is_usable) {
            if left < entry.weight {
                return entry.address.clone();
            }
            left -= entry.weight;
        }
        self.seeds.first().cloned().unwrap_or_default()
    }
}

fn ask(addresses: &[String]) -> Option<caller::Entries> {
    for address in addresses {
        let session = new_session(DISCOVERY_TIMEOUT_MS);
        let Ok(response) = session.get(format!("http://{address}/v1/entries")).send() else {
            continue;
        };
        let Ok(bytes) = response.bytes() else {
            continue;
        };
        match serde_json::from_slice::<caller::Entries>(&bytes) {
            Ok(entries) if !entries.entries.is_empty() => return Some(entries),
            _ => {}
        }
    }
    None
}

/// Returns a session that ignores proxies from the environment.
pub(crate) fn new_session(read_timeout_ms: u64) -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS));
    session.read_timeout(Duration::from_millis(read_timeout_ms));
    session
}
