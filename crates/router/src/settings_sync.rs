//! The settings thread: follows the settings stream and publishes the view.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use waxwing_core::state::settings::Settings;
use waxwing_wire::platform::Record;

use crate::shared::Shared;
use crate::transport::log_client::LogClient;

/// Stream that carries the settings.
pub const STREAM: &str = "settings";

/// Time that a read waits for the first record, in milliseconds.
const READ_WAIT_MS: u64 = 5_000;

/// Pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Starts the settings thread.
pub fn start(shared: Arc<Shared>) {
    thread::spawn(move || follow(&shared));
}

fn follow(shared: &Shared) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let mut from = 0;
    loop {
        let page = match client.read(STREAM, from, READ_WAIT_MS) {
            Ok(page) => page,
            Err(error) => {
                log::warn!("settings cannot be read: {error}");
                thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
                continue;
            }
        };
        for record in &page.records {
            from = record.offset + 1;
            apply(shared, record);
        }
    }
}

fn apply(shared: &Shared, record: &Record) {
    match to_settings(record) {
        Some(settings) => shared.update_view(|view| {
            view.settings = settings;
            view.settings_version = record.offset + 1;
        }),
        None => log::error!(
            "stream {STREAM}, offset {}: record skipped, it does not decode",
            record.offset
        ),
    }
}

fn to_settings(record: &Record) -> Option<Settings> {
    let bytes = STANDARD.decode(&record.data).ok()?;
    toml::from_str(std::str::from_utf8(&bytes).ok()?).ok()
}
