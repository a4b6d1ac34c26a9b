//! Exchange of the settings state with other VMs.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use waxwing_core::Name;
use waxwing_core::state::settings::replay::Snapshot;
use waxwing_wire::peer::SettingsState;
use waxwing_wire::settings_record::SettingsSnapshot;

use crate::shared::Shared;

/// Interval at which the settings versions of the peers are checked, in milliseconds.
///
/// Heartbeats carry the versions every second, and a change must be active on every VM within seconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Counter of requests to peers for their settings state, by outcome.
const EXCHANGES: &str = "waxwing_settings_exchanges_total";

/// Starts the threads that serve the state to peers and fetch it from them.
pub(super) fn start(shared: &Arc<Shared>) {
    let answering = Arc::clone(shared);
    thread::spawn(move || answer(&answering));
    let asking = Arc::clone(shared);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            if let Some(peer) = newest_peer(&asking) {
                let outcome = fetch(&asking, &peer);
                metrics::counter!(EXCHANGES, "outcome" => outcome).increment(1);
            }
        }
    });
}

fn answer(shared: &Shared) {
    for question in shared.peers.settings.receiver() {
        // A peer without an answer asks again.
        if let Some(state) = export(shared, question.body) {
            let _ = question.answer.try_send(state);
        }
    }
}

/// Returns `Some(None)` if the state is not newer than `have_version`, and `None` if it cannot be exported now.
fn export(shared: &Shared, have_version: u64) -> Option<Option<SettingsState>> {
    let version = shared.view().settings_version;
    if version <= have_version {
        return Some(None);
    }
    let snapshot = shared.settings_sync.export();
    let snapshot = snapshot.inspect_err(|error| log::warn!("no settings for a peer: {error}"));
    let Some(snapshot) = snapshot.ok()? else {
        return Some(None);
    };
    let bytes = serde_json::to_vec(&SettingsSnapshot::from(&snapshot));
    let bytes = bytes.inspect_err(|error| log::error!("no settings for a peer: {error}"));
    let bytes = bytes.ok()?;
    Some(Some(SettingsState { version, bytes }))
}

/// Returns the peer with the newest settings if they are newer than those of this VM.
fn newest_peer(shared: &Shared) -> Option<Name> {
    let view = shared.view();
    let members = view.members.iter();
    let newest = members.max_by_key(|member| member.settings_version)?;
    let is_newer = newest.settings_version > view.settings_version;
    is_newer.then(|| newest.name.clone())
}

fn fetch(shared: &Shared, peer: &Name) -> &'static str {
    let have_version = shared.view().settings_version;
    let state = match shared.peers.settings(peer, have_version) {
        Ok(Some(state)) => state,
        Ok(None) => return "nothing_newer",
        Err(error) => {
            log::warn!("no settings from {peer}: {error}");
            return "failed";
        }
    };
    let snapshot = match decode(&state) {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::error!("the settings from {peer} do not decode: {error}");
            return "undecodable";
        }
    };
    match shared.settings_sync.import(snapshot) {
        Ok(true) => {
            log::info!(version = state.version; "settings taken from {peer}");
            "taken"
        }
        Ok(false) => "not_newer",
        Err(error) => {
            log::error!("the settings from {peer}: {error}");
            "refused"
        }
    }
}

fn decode(state: &SettingsState) -> Result<Snapshot, Box<dyn std::error::Error>> {
    let snapshot: SettingsSnapshot = serde_json::from_slice(&state.bytes)?;
    Ok(snapshot.try_into()?)
}
