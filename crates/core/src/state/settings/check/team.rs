//! Validation of a team's subtree.

use super::TIER_MAX;
use crate::Name;
use crate::document::Table;
use crate::state::settings;
use crate::state::settings::Class;
use crate::state::settings::Delivery;
use crate::state::settings::OnLogOutage;
use crate::state::settings::Pool;
use crate::state::settings::PoolKind;
use crate::state::settings::Settings;
use crate::state::settings::Team;

const DELIVERIES: &[(&str, Delivery)] = &[("direct", Delivery::Direct), ("job", Delivery::Job)];

const ON_LOG_OUTAGES: &[(&str, OnLogOutage)] = &[
    ("refuse", OnLogOutage::Refuse),
    ("from_memory", OnLogOutage::FromMemory),
];

/// Longest target, deadline and ageing time: one day, in milliseconds.
const TIME_MAX_MS: u64 = 24 * 3_600 * 1_000;

/// Reads the classes of a team; without `deployment`, references to it are not checked.
pub(super) fn read(table: &mut Table<'_, '_>, deployment: Option<&Settings>) -> Team {
    let mut team = Team::default();
    for (name, mut class) in table.tables("classes") {
        let read = read_class(&mut class);
        check_repeats(&class, &read);
        check_times(&class, &read);
        if let Some(deployment) = deployment {
            check_pool(&class, &read, deployment);
        }
        class.finish();
        team.classes.insert(name, read);
    }
    team
}

fn read_class(table: &mut Table<'_, '_>) -> Class {
    Class {
        pool: table.name("pool").unwrap_or_else(|| Name::from("")),
        tier: table.number("tier", 0..=TIER_MAX, None),
        target_ms: table.number("target_ms", 1..=TIME_MAX_MS, None),
        deadline_ms: table.number("deadline_ms", 1..=TIME_MAX_MS, None),
        idempotent: table.flag("idempotent", settings::default_true()),
        delivery: table
            .choice("delivery", DELIVERIES, Some(Delivery::default()))
            .unwrap_or_default(),
        expected_tokens: table.number(
            "expected_tokens",
            1..=1_000_000,
            Some(settings::default_expected_tokens()),
        ),
        on_log_outage: table
            .choice(
                "on_log_outage",
                ON_LOG_OUTAGES,
                Some(OnLogOutage::default()),
            )
            .unwrap_or_default(),
        ageing_ms: table.number(
            "ageing_ms",
            1..=TIME_MAX_MS,
            Some(settings::default_ageing_ms()),
        ),
        in_flight_max: table.number(
            "in_flight_max",
            1..=1_000_000,
            Some(settings::default_in_flight_max()),
        ),
        preemptible: table.flag("preemptible", false),
        hedge: table.flag("hedge", false),
    }
}

/// Reports settings of a non-idempotent class that may run a request more than once.
fn check_repeats(table: &Table<'_, '_>, class: &Class) {
    if class.idempotent {
        return;
    }
    let repeats = [
        ("delivery", class.delivery == Delivery::Job, "\"job\""),
        ("preemptible", class.preemptible, "true"),
        ("hedge", class.hedge, "true"),
    ];
    for (key, is_set, value) in repeats {
        if !is_set {
            continue;
        }
        let path = table.key_path(key);
        let message =
            format!("{path} = {value} may run a request twice, but the class is not idempotent");
        let remedy = format!("remove {key}, or set idempotent = true if repeats do no harm");
        table.add(key, message, remedy);
    }
}

fn check_times(table: &Table<'_, '_>, class: &Class) {
    // An invalid time was replaced by the lower bound of 1 and has already been reported.
    if class.deadline_ms == 1 || class.target_ms <= class.deadline_ms {
        return;
    }
    let path = table.key_path("target_ms");
    let message = format!("{path} is later than deadline_ms = {}", class.deadline_ms);
    table.add("target_ms", message, "write target_ms <= deadline_ms");
}

fn check_pool(table: &Table<'_, '_>, class: &Class, deployment: &Settings) {
    if class.pool.as_str().is_empty() {
        return;
    }
    let Some(pool) = deployment.pools.get(&class.pool) else {
        let path = table.key_path("pool");
        let message = format!("{path} \"{}\" does not exist", class.pool);
        let pools: Vec<&str> = deployment.pools.keys().map(Name::as_str).collect();
        let remedy = match pools.is_empty() {
            true => "add the pool to the deployment subtree first".to_owned(),
            false => format!("use one of: {}", pools.join(", ")),
        };
        table.add("pool", message, remedy);
        return;
    };
    check_delivery(table, class, pool);
    check_fencing(table, class, pool);
}

fn check_delivery(table: &Table<'_, '_>, class: &Class, pool: &Pool) {
    if class.delivery == Delivery::Direct || pool.kind == PoolKind::Model {
        return;
    }
    let path = table.key_path("delivery");
    let message = format!("{path} = \"job\", but pool {} holds services", class.pool);
    table.add("delivery", message, "use a pool with kind = \"model\"");
}

/// Reports grants from memory in a pool where an endpoint would accept calls with a former owner's fencing token.
fn check_fencing(table: &Table<'_, '_>, class: &Class, pool: &Pool) {
    if class.on_log_outage == OnLogOutage::Refuse {
        return;
    }
    let unfenced = pool
        .endpoints
        .iter()
        .find(|endpoint| !endpoint.checks_fencing);
    let Some(endpoint) = unfenced else {
        return;
    };
    let path = table.key_path("on_log_outage");
    let message = format!(
        "{path} = \"from_memory\", but endpoint {} of pool {} does not check fencing tokens",
        endpoint.name, class.pool
    );
    let remedy = "write \"refuse\", or set checks_fencing = true if the endpoint checks them";
    table.add("on_log_outage", message, remedy);
}
