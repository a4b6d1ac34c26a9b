//! Publishing settings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use waxwing_wire::platform::Append;

use crate::control;

/// Publishes the text of a settings tree on the log service and returns whether the log accepted it.
pub fn publish_settings(log_address: &str, text: &str) -> bool {
    append(log_address, "settings", text.as_bytes())
}

/// Appends one record of any content, so that tests can send records that do not decode.
pub fn append(log_address: &str, stream: &str, content: &[u8]) -> bool {
    let append = Append {
        records: vec![STANDARD.encode(content)],
    };
    let url = format!("http://{log_address}/streams/{stream}/records");
    let body = serde_json::to_vec(&append).unwrap_or_default();
    let sent = control::to_session().post(url).bytes(body).send();
    sent.is_ok_and(|response| response.is_success())
}
