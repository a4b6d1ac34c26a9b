//! Guards against messages of other VMs that end the peer thread, are accepted although invalid, or get no answer.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use async_executor::LocalExecutor;
use async_io::Async;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use rand::Rng;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::peer::PROTOCOL_VERSION;
use waxwing_wire::peer_capnp::router;
use waxwingrouter::config::Config;
use waxwingrouter::daemon;
use waxwingrouter::peer;
use waxwingrouter::shared::Handles;
use waxwingrouter::shared::Shared;

const INCARNATION: u64 = 7;
/// A public key that belongs to no operator; the daemon needs one to start.
const ROOT_PUBLIC_KEY: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";
const GARBAGE_ROUNDS: usize = 200;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

fn new_config() -> Config {
    let text = format!(
        r#"
[vm]
name = "vm-1"
data_centre = "dc-1"
caller_address = "{}"
peer_address = "{}"
operator_address = "{}"
[platform]
log_address = "{}"
[operators]
root_public_keys = ["{ROOT_PUBLIC_KEY}"]
"#,
        free_address(),
        free_address(),
        free_address(),
        free_address()
    );
    Config::parse("test", &text).expect("the settings are valid")
}

fn start_daemon() -> Arc<Shared> {
    daemon::start(new_config()).expect("the daemon starts")
}

/// Starts the peer thread alone, so that the test itself answers the questions.
fn start_peer_thread() -> Arc<Shared> {
    let config = new_config();
    let listener = TcpListener::bind(&config.vm.peer_address).expect("the port is free");
    let (handles, inboxes) = Handles::new();
    let shared = Arc::new(Shared::new(config, handles));
    let started = peer::start(Arc::clone(&shared), inboxes.peers, listener);
    started.expect("the peer thread starts");
    shared
}

fn peer_address(shared: &Shared) -> SocketAddr {
    let address = shared.config.vm.peer_address.parse();
    address.expect("the peer address is valid")
}

/// Calls the daemon on a new connection.
fn call<T>(shared: &Shared, body: impl AsyncFnOnce(router::Client) -> T) -> T {
    let executor = LocalExecutor::new();
    let address = peer_address(shared);
    async_io::block_on(executor.run(async {
        let stream = Async::<TcpStream>::connect(address).await;
        let (reader, writer) = stream.expect("the daemon accepts connections").split();
        let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: router::Client = system.bootstrap(Side::Server);
        executor.spawn(system).detach();
        body(client).await
    }))
}

async fn hello(client: &router::Client, version: u16) -> Result<u16, capnp::Error> {
    let mut request = client.hello_request();
    request.get().set_version(version);
    request.get().set_incarnation(INCARNATION);
    request.get().set_name("vm-2");
    let response = request.send().promise.await?;
    Ok(response.get()?.get_version())
}

#[test]
fn other_version_is_refused_with_both_versions() {
    let shared = start_daemon();
    let other = PROTOCOL_VERSION + 1;
    let error = call(&shared, async |client| hello(&client, other).await);
    let text = error.expect_err("the version is unknown").to_string();
    assert!(
        text.contains(&format!(
            "protocol version {other}, this VM {PROTOCOL_VERSION}"
        )),
        "{text}"
    );
    let version = call(&shared, async |client| {
        hello(&client, PROTOCOL_VERSION).await
    });
    assert_eq!(version.expect("the own version is known"), PROTOCOL_VERSION);
}

#[test]
fn call_without_hello_is_refused() {
    let shared = start_daemon();
    let result = call(&shared, async |client| {
        client.exchange_request().send().promise.await.map(|_| ())
    });
    let text = result.expect_err("there was no hello").to_string();
    assert!(text.contains("call hello"), "{text}");
}

#[test]
fn damaged_messages_do_not_end_the_thread() {
    let seed: u64 = rand::random();
    println!("seed: {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let shared = start_daemon();
    for round in 0..GARBAGE_ROUNDS {
        let mut bytes = vec![0; random.random_range(1..200)];
        random.fill_bytes(&mut bytes);
        if round % 2 == 0 && bytes.len() >= 16 {
            // One segment of plausible length, so that the content and not the frame is damaged.
            let words = (bytes.len() - 8) / 8;
            bytes[..4].copy_from_slice(&[0; 4]);
            bytes[4..8].copy_from_slice(&(words as u32).to_le_bytes());
            bytes[8..16].copy_from_slice(&[0, 0, 0, 0, 1, 0, 1, 0]);
        }
        let mut stream = TcpStream::connect(peer_address(&shared)).expect("a connection");
        // The daemon may already have closed the connection.
        let _ = stream.write_all(&bytes);
    }
    let version = call(&shared, async |client| {
        hello(&client, PROTOCOL_VERSION).await
    });
    assert_eq!(version.expect("the daemon still answers"), PROTOCOL_VERSION);
}

#[test]
fn ticket_of_another_process_is_refused() {
    let shared = start_daemon();
    let result = call(&shared, async |client| {
        hello(&client, PROTOCOL_VERSION).await?;
        let mut request = client.enqueue_request();
        let mut ask = request.get().init_ask();
        ask.set_content_hash(&[0; 32]);
        ask.init_ticket().set_incarnation(INCARNATION + 1);
        request.send().promise.await.map(|_| ())
    });
    let text = result.expect_err("the ticket is of another").to_string();
    assert!(text.contains("the ticket is not of the caller"), "{text}");
}

#[test]
fn claim_reaches_the_thread_that_answers_it() {
    let shared = start_peer_thread();
    let questions = shared.peers.claims.receiver();
    let claim = ClaimRequest {
        organisation: "organisation".to_owned(),
        key: uuid::Uuid::from_u128(1),
        body_hash: [1; 32],
        class: "team/class".to_owned(),
        claimant: INCARNATION,
        may_use_memory: false,
        wait_ms: 30_000,
    };
    let expected = claim.clone();
    let refusal = Refusal::not_run(Reason::RangeHandover, 5, "text");
    let answer = ClaimVerdict::Refused(refusal.clone());
    let answering = thread::spawn(move || {
        let question = questions.recv().expect("the claim arrives");
        assert_eq!(question.incarnation, INCARNATION);
        assert_eq!(question.body, expected);
        question.answer.send(answer).expect("the caller waits");
    });
    let verdict = call(&shared, async |client| {
        hello(&client, PROTOCOL_VERSION).await?;
        let mut request = client.claim_request();
        claim.write(request.get().init_request());
        let response = request.send().promise.await?;
        let verdict = ClaimVerdict::try_from(response.get()?.get_verdict()?);
        Ok::<_, capnp::Error>(verdict.expect("the verdict decodes"))
    });
    assert_eq!(
        verdict.expect("the claim is answered"),
        ClaimVerdict::Refused(refusal)
    );
    assert!(answering.join().is_ok());
}
