//! Validation of the deployment subtree.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::VerifyingKey;

use crate::Name;
use crate::document::Document;
use crate::document::Table;
use crate::state::settings;
use crate::state::settings::Claims;
use crate::state::settings::Endpoint;
use crate::state::settings::Operator;
use crate::state::settings::Organisation;
use crate::state::settings::Policy;
use crate::state::settings::Pool;
use crate::state::settings::PoolKind;
use crate::state::settings::Scheduling;
use crate::state::settings::Settings;

const KINDS: &[(&str, PoolKind)] = &[("model", PoolKind::Model), ("service", PoolKind::Service)];

const SCHEDULINGS: &[(&str, Scheduling)] = &[
    ("deployment", Scheduling::Deployment),
    ("data_centre", Scheduling::DataCentre),
];

const POLICIES: &[(&str, Policy)] = &[("tiers", Policy::Tiers), ("baseline", Policy::Baseline)];

/// Length of a hexadecimal BLAKE3 hash.
const HASH_DIGITS: usize = 64;

/// Unique values with the line on which each was last used.
type UsedValues = BTreeMap<String, usize>;

/// Reads everything but the teams.
///
/// Invalid tables are kept, so that references to them are not reported as well.
pub(super) fn read(document: &Document<'_>, table: &mut Table<'_, '_>) -> Settings {
    let mut settings = Settings::default();
    let mut endpoint_names = UsedValues::new();
    for (name, mut pool) in table.tables("pools") {
        let read = read_pool(&mut pool, &mut endpoint_names);
        pool.finish();
        settings.pools.insert(name, read);
    }
    let mut hashes = UsedValues::new();
    for (name, mut organisation) in table.tables("organisations") {
        let read = read_organisation(document, &mut organisation, &mut hashes);
        organisation.finish();
        settings.organisations.insert(name, read);
    }
    let mut keys = UsedValues::new();
    for (name, mut operator) in table.tables("operators") {
        let read = read_operator(&mut operator, &mut keys);
        operator.finish();
        settings.operators.insert(name, read);
    }
    if let Some(mut claims) = table.table("claims") {
        settings.claims = read_claims(&mut claims);
        claims.finish();
    }
    settings
}

fn read_pool(table: &mut Table<'_, '_>, endpoint_names: &mut UsedValues) -> Pool {
    let mut pool = Pool {
        kind: table.choice("kind", KINDS, None).unwrap_or(PoolKind::Model),
        scheduling: table
            .choice("scheduling", SCHEDULINGS, Some(Scheduling::default()))
            .unwrap_or_default(),
        policy: table
            .choice("policy", POLICIES, Some(Policy::default()))
            .unwrap_or_default(),
        reserved_slots: table.number("reserved_slots", 0..=100_000, Some(0)),
        queue_max: table.number(
            "queue_max",
            0..=1_000_000,
            Some(settings::default_queue_max()),
        ),
        slow_factor: table.fraction("slow_factor", 1.1..=100.0, settings::default_slow_factor()),
        eject_share_max: table.fraction(
            "eject_share_max",
            0.0..=1.0,
            settings::default_eject_share_max(),
        ),
        probe_interval_ms: table.number(
            "probe_interval_ms",
            10..=600_000,
            Some(settings::default_probe_interval_ms()),
        ),
        preempt_max: table.number(
            "preempt_max",
            0..=100,
            Some(settings::default_preempt_max()),
        ),
        poison_endpoints_max: table.number(
            "poison_endpoints_max",
            1..=100,
            Some(settings::default_poison_endpoints_max()),
        ),
        endpoints: Vec::new(),
    };
    let mut addresses = UsedValues::new();
    for mut endpoint in table.list("endpoints") {
        if let Some(read) = read_endpoint(&mut endpoint, endpoint_names, &mut addresses) {
            pool.endpoints.push(read);
        }
        endpoint.finish();
    }
    check_reserved_slots(table, &pool);
    pool
}

/// Reports a reservation of all slots, which would starve the other tiers.
fn check_reserved_slots(table: &Table<'_, '_>, pool: &Pool) {
    let slots: u64 = pool
        .endpoints
        .iter()
        .map(|endpoint| u64::from(endpoint.slots_max))
        .sum();
    if pool.endpoints.is_empty() || u64::from(pool.reserved_slots) < slots {
        return;
    }
    let message = format!(
        "{} = {} leaves none of the {slots} slots to other tiers than 0",
        table.key_path("reserved_slots"),
        pool.reserved_slots
    );
    let remedy = format!("write at most {}", slots.saturating_sub(1));
    table.add("reserved_slots", message, remedy);
}

fn read_endpoint(
    table: &mut Table<'_, '_>,
    names: &mut UsedValues,
    addresses: &mut UsedValues,
) -> Option<Endpoint> {
    let name = table.name("name");
    let endpoint = Endpoint {
        name: name.clone().unwrap_or_else(|| Name::from("")),
        address: table.address("address", true),
        data_centre: table.name("data_centre").unwrap_or_else(|| Name::from("")),
        checks_fencing: table.flag("checks_fencing", false),
        slots_min: table.number(
            "slots_min",
            1..=100_000,
            Some(settings::default_slots_min()),
        ),
        slots_max: table.number(
            "slots_max",
            1..=100_000,
            Some(settings::default_slots_max()),
        ),
        leaving: table.flag("leaving", false),
    };
    if endpoint.slots_min > endpoint.slots_max {
        let message = format!(
            "{} is above slots_max = {}",
            table.key_path("slots_min"),
            endpoint.slots_max
        );
        table.add("slots_min", message, "write slots_min <= slots_max");
    }
    check_unique(table, "name", endpoint.name.as_str(), names);
    check_unique(table, "address", &endpoint.address, addresses);
    name.map(|_| endpoint)
}

fn read_organisation(
    document: &Document<'_>,
    table: &mut Table<'_, '_>,
    hashes: &mut UsedValues,
) -> Organisation {
    let organisation = Organisation {
        team: table.name("team").unwrap_or_else(|| Name::from("")),
        weight: table.number("weight", 1..=1_000, Some(settings::default_weight())),
        key_hashes: Vec::new(),
        in_flight_max: table.number(
            "in_flight_max",
            1..=1_000_000,
            Some(settings::default_in_flight_max()),
        ),
    };
    let mut key_hashes = Vec::new();
    for hash in table.texts("key_hashes") {
        let span = hash.span();
        let hash = hash.into_inner();
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() != HASH_DIGITS || !hash.chars().all(is_digit) {
            let message = format!("{} holds a malformed hash", table.key_path("key_hashes"));
            let remedy =
                "write the 64 lower-case hexadecimal digits that `waxwingctl key hash` prints";
            document.add(span, message, remedy);
        } else if let Some(other) = hashes.insert(hash.clone(), table.line("key_hashes")) {
            let message = format!(
                "{} repeats a hash of line {other}",
                table.key_path("key_hashes")
            );
            document.add(span, message, "give each organisation its own API keys");
        }
        key_hashes.push(hash);
    }
    Organisation {
        key_hashes,
        ..organisation
    }
}

fn read_operator(table: &mut Table<'_, '_>, keys: &mut UsedValues) -> Operator {
    let public_key = table.text("public_key");
    let teams = table.names("teams");
    if let Some(key) = &public_key {
        if parse_public_key(key).is_none() {
            let message = format!("{} is malformed", table.key_path("public_key"));
            table.add("public_key", message, PUBLIC_KEY_REMEDY);
        }
        check_unique(table, "public_key", key, keys);
    }
    Operator {
        public_key: public_key.unwrap_or_default(),
        teams,
    }
}

/// Remedy for a malformed public key.
pub const PUBLIC_KEY_REMEDY: &str =
    "write the 32 bytes of an ed25519 public key in base64, as `waxwingctl key new` prints them";

/// Decodes an ed25519 public key from base64.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = STANDARD.decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

fn read_claims(table: &mut Table<'_, '_>) -> Claims {
    let default = Claims::default();
    Claims {
        key_lifetime_s: table.number("key_lifetime_s", 1..=604_800, Some(default.key_lifetime_s)),
        clock_skew_max_ms: table.number(
            "clock_skew_max_ms",
            0..=600_000,
            Some(default.clock_skew_max_ms),
        ),
        group_commit_ms: table.number("group_commit_ms", 1..=1_000, Some(default.group_commit_ms)),
        outage_after_ms: table.number(
            "outage_after_ms",
            100..=600_000,
            Some(default.outage_after_ms),
        ),
    }
}

fn check_unique(table: &Table<'_, '_>, key: &'static str, value: &str, used: &mut UsedValues) {
    if value.is_empty() {
        return;
    }
    let Some(other) = used.insert(value.to_owned(), table.line(key)) else {
        return;
    };
    let path = table.key_path(key);
    let message = format!("{path} \"{value}\" is also used on line {other}");
    table.add(key, message, format!("write a {key} that no other has"));
}
