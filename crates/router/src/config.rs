//! Settings of one VM, read from its TOML file.

use std::net::SocketAddr;

use waxwing_core::Name;
use waxwing_core::document::Document;
use waxwing_core::document::Table;
use waxwing_core::finding::Finding;
use waxwing_core::finding::Findings;
use waxwing_core::state::settings::check;

/// Result of reading the file.
pub type Result<T> = std::result::Result<T, Findings>;

/// Longest time limit, in milliseconds: one hour.
const TIME_MAX_MS: u64 = 3_600 * 1_000;

/// Smallest allowed limit of a request head, in bytes: `hyper` rejects a smaller read buffer.
const HEAD_LEAST_BYTES: usize = 8_192;

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This VM.
    pub vm: Vm,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Who may publish the deployment subtree.
    pub operators: Operators,
    /// Bounds of this process.
    pub limits: Limits,
}

/// Identity and addresses of this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Name, unique in the deployment.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: String,
    /// Address for the other entry VMs.
    pub peer_address: String,
    /// Address for operators and metrics.
    pub operator_address: String,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Address of the log service.
    pub log_address: String,
    /// Address of the VM list.
    pub vm_list_address: String,
    /// Address of the weight store.
    pub weight_store_address: String,
}

/// Who may publish the deployment subtree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Public keys for ed25519 signatures, in base64.
    pub root_public_keys: Vec<String>,
}

/// Bounds of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests in progress.
    pub requests_max: usize,
    /// Length of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Time for a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Length of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Time for a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Silence of an endpoint after which an attempt counts as lost, in milliseconds.
    pub endpoint_silence_ms: u64,
    /// Time for which callers may keep the entry addresses, in seconds.
    pub entries_lifetime_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_max: 2_000,
            head_max_bytes: 16 * 1_024,
            head_timeout_ms: 10_000,
            body_max_bytes: 1_024 * 1_024,
            body_timeout_ms: 30_000,
            endpoint_silence_ms: 15_000,
            entries_lifetime_s: 10,
        }
    }
}

impl Config {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// Fails with all findings if the file cannot be read or has a finding.
    pub fn read(file: &str) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|error| {
            Findings::new(vec![Finding {
                file: file.to_owned(),
                line: 1,
                column: 1,
                message: format!("the file cannot be read: {error}"),
                remedy: "check its path, permissions and encoding (UTF-8)".to_owned(),
            }])
        })?;
        Self::parse(file, &text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// Fails with all findings if there is one.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let (document, root) = Document::parse(file, text);
        let mut table = document.root(&root);
        let vm = table.required_table("vm").and_then(read_vm);
        let platform = table.required_table("platform").map(read_platform);
        let operators = table
            .required_table("operators")
            .map(|table| read_operators(&document, table));
        let limits = table.table("limits").map(read_limits);
        table.finish();
        document.finish()?;
        // Each of these is present where there is no finding.
        let missing = || Findings::new(Vec::new());
        Ok(Self {
            vm: vm.ok_or_else(missing)?,
            platform: platform.ok_or_else(missing)?,
            operators: operators.ok_or_else(missing)?,
            limits: limits.unwrap_or_default(),
        })
    }
}

fn read_vm(mut table: Table<'_, '_>) -> Option<Vm> {
    let name = table.name("name");
    let data_centre = table.name("data_centre");
    let vm = Vm {
        name: name.clone().unwrap_or_else(|| Name::from("")),
        data_centre: data_centre.clone().unwrap_or_else(|| Name::from("")),
        caller_address: table.address("caller_address", true),
        peer_address: table.address("peer_address", true),
        operator_address: table.address("operator_address", true),
    };
    check_distinct(
        &table,
        "peer_address",
        &vm.peer_address,
        &[&vm.caller_address],
    );
    let others = [&vm.caller_address, &vm.peer_address];
    check_distinct(&table, "operator_address", &vm.operator_address, &others);
    table.finish();
    name.and(data_centre).map(|_| vm)
}

/// Reports an address that another listener of this VM uses; port 0 stands for any free port.
fn check_distinct(table: &Table<'_, '_>, key: &str, address: &str, others: &[&String]) {
    let port = address
        .parse::<SocketAddr>()
        .map_or(0, |parsed| parsed.port());
    if port == 0 || !others.iter().any(|other| *other == address) {
        return;
    }
    let message = format!("{} {address} is used before", table.key_path(key));
    table.add(
        key,
        message,
        "give each duty of the VM an address of its own",
    );
}

fn read_platform(mut table: Table<'_, '_>) -> Platform {
    let platform = Platform {
        log_address: table.address("log_address", true),
        vm_list_address: table.address("vm_list_address", false),
        weight_store_address: table.address("weight_store_address", false),
    };
    table.finish();
    platform
}

fn read_operators(document: &Document<'_>, mut table: Table<'_, '_>) -> Operators {
    let keys = table.texts("root_public_keys");
    if keys.is_empty() {
        let message = "operators.root_public_keys is empty, so no settings can be published";
        table.add("root_public_keys", message, check::PUBLIC_KEY_REMEDY);
    }
    let mut root_public_keys = Vec::new();
    for key in keys {
        if check::parse_public_key(key.get_ref()).is_none() {
            let message = "operators.root_public_keys holds a malformed key";
            document.add(key.span(), message, check::PUBLIC_KEY_REMEDY);
        }
        root_public_keys.push(key.into_inner());
    }
    table.finish();
    Operators { root_public_keys }
}

fn read_limits(mut table: Table<'_, '_>) -> Limits {
    let default = Limits::default();
    let time_ms = 1..=TIME_MAX_MS;
    let limits = Limits {
        requests_max: table.number("requests_max", 1..=1_000_000, Some(default.requests_max)),
        head_max_bytes: table.number(
            "head_max_bytes",
            HEAD_LEAST_BYTES..=1_024 * 1_024,
            Some(default.head_max_bytes),
        ),
        head_timeout_ms: table.number(
            "head_timeout_ms",
            time_ms.clone(),
            Some(default.head_timeout_ms),
        ),
        body_max_bytes: table.number(
            "body_max_bytes",
            1..=1_024 * 1_024 * 1_024,
            Some(default.body_max_bytes),
        ),
        body_timeout_ms: table.number(
            "body_timeout_ms",
            time_ms.clone(),
            Some(default.body_timeout_ms),
        ),
        endpoint_silence_ms: table.number(
            "endpoint_silence_ms",
            time_ms,
            Some(default.endpoint_silence_ms),
        ),
        entries_lifetime_s: table.number(
            "entries_lifetime_s",
            1..=3_600,
            Some(default.entries_lifetime_s),
        ),
    };
    table.finish();
    limits
}
