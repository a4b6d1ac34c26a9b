//! Guards against probe results and load reports that do not reach the scheduler, and against requests that wait for a
//! pool that does not exist.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tiny_http::Response;
use tiny_http::Server;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::settings::Settings;
use waxwingrouter::config::Config;
use waxwingrouter::prober;
use waxwingrouter::scheduling;
use waxwingrouter::scheduling::SlotCommand;
use waxwingrouter::shared::Handles;
use waxwingrouter::shared::Shared;

const CONFIG: &str = r#"
[vm]
name = "vm-1"
data_centre = "dc-1"
caller_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
operator_address = "127.0.0.1:3"
[platform]
log_address = "127.0.0.1:4"
[operators]
root_public_keys = ["A6EHv/POEL4dcN0Y50vAmWfk1jCbpQ1fHdyGZBJVMbg="]
"#;

/// Starts the scheduler and prober threads for one pool with one endpoint.
fn start(address: &str) -> Arc<Shared> {
    let config = Config::parse("test", CONFIG).expect("the settings are valid");
    let (handles, inboxes) = Handles::new();
    let shared = Arc::new(Shared::new(config, handles));
    let text = format!(
        "[pools.chat]\nkind = \"model\"\n[[pools.chat.endpoints]]\nname = \"e1\"\n\
         address = \"{address}\"\ndata_centre = \"dc-1\"\nslots_max = 4\n"
    );
    let settings: Settings = toml::from_str(&text).expect("the settings are valid");
    shared.update_view(|view| {
        view.settings = settings;
        view.settings_version = 1;
    });
    scheduling::start(Arc::clone(&shared), inboxes.scheduling);
    prober::start(Arc::clone(&shared));
    shared
}

fn slot_request(shared: &Shared) -> SlotRequest {
    SlotRequest {
        ticket: shared.new_ticket(),
        class: Name::from("c"),
        organisation: Name::from("o"),
        weight: 1,
        tier: 0,
        deadline_at_ms: shared.now_ms() + 60_000,
        target_ms: 1_000,
        ageing_ms: 1_000,
        idempotent: true,
        preemptible: false,
        expected_tokens: 1,
        generated_tokens: 0,
        class_in_flight_max: 100,
        organisation_in_flight_max: 100,
        prefix_hash: 0,
        content_hash: [0; 32],
        data_centre: Name::from("dc-1"),
        excluded: Vec::new(),
    }
}

fn finish(shared: &Shared, slot_request: &SlotRequest) {
    let input = Input::Finish {
        ticket: slot_request.ticket,
        end: AttemptEnd::Done,
        tokens: 0,
    };
    shared.scheduling.input(&Name::from("chat"), input);
    shared
        .scheduling
        .leave(&Name::from("chat"), slot_request.ticket);
}

/// Repeats a check until it holds, for at most 20 s.
fn wait_for(mut check: impl FnMut() -> bool) {
    let began = Instant::now();
    while !check() {
        assert!(began.elapsed() < Duration::from_secs(20), "it never held");
    }
}

#[test]
fn dead_endpoint_is_found_by_its_probe() {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    drop(server);
    let shared = start(&address);
    wait_for(|| {
        let slot_request = slot_request(&shared);
        let orders = shared
            .scheduling
            .enqueue(&Name::from("chat"), slot_request.clone());
        let order = orders.recv_timeout(Duration::from_secs(5));
        finish(&shared, &slot_request);
        let reason = Reason::NoEndpoint;
        matches!(order, Ok(SlotCommand::Refuse { reason: found, .. }) if found == reason)
    });
}

#[test]
fn load_report_lowers_the_slots() {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    std::thread::spawn(move || {
        for request in server.incoming_requests() {
            let body = match request.url() {
                "/load" => {
                    r#"{"running":1,"waiting":3,"started_id":7,"report_age_ms":0,"fence":0}"#
                }
                _ => r#"{"started_id":7}"#,
            };
            let _ = request.respond(Response::from_string(body));
        }
    });
    let shared = start(&address);
    wait_for(|| {
        let slot_requests = [slot_request(&shared), slot_request(&shared)];
        let pool = Name::from("chat");
        let orders = slot_requests
            .clone()
            .map(|slot_request| shared.scheduling.enqueue(&pool, slot_request));
        let first = orders[0].recv_timeout(Duration::from_millis(200));
        let second = orders[1].recv_timeout(Duration::from_millis(200));
        slot_requests
            .iter()
            .for_each(|slot_request| finish(&shared, slot_request));
        matches!(first, Ok(SlotCommand::Grant { .. })) && second.is_err()
    });
}

#[test]
fn request_for_an_unknown_pool_is_refused() {
    let shared = start("127.0.0.1:1");
    let orders = shared
        .scheduling
        .enqueue(&Name::from("other"), slot_request(&shared));
    let order = orders.recv_timeout(Duration::from_secs(20));
    assert!(matches!(order, Ok(SlotCommand::Refuse { .. })), "{order:?}");
}

#[test]
fn requests_of_a_removed_pool_are_refused() {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let shared = start(&server.server_addr().to_string());
    let pool = Name::from("chat");
    let slot_requests: Vec<SlotRequest> = (0..5).map(|_| slot_request(&shared)).collect();
    let enqueue =
        |slot_request: &SlotRequest| shared.scheduling.enqueue(&pool, slot_request.clone());
    let orders: Vec<_> = slot_requests.iter().map(enqueue).collect();
    for granted in &orders[..4] {
        let order = granted.recv_timeout(Duration::from_secs(20));
        assert!(matches!(order, Ok(SlotCommand::Grant { .. })), "{order:?}");
    }
    shared.update_view(|view| {
        view.settings.pools.clear();
        view.settings_version = 2;
    });
    let order = orders[4].recv_timeout(Duration::from_secs(20));
    assert!(matches!(order, Ok(SlotCommand::Refuse { .. })), "{order:?}");
}
