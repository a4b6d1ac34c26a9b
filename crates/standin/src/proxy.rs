//! TCP proxy that injects faults per direction.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;

use crate::fault::FaultCell;
use crate::http;
use crate::http::ListenAddresses;

/// Longest time before a connection reacts to changed faults, in milliseconds.
const POLL_MS: u64 = 20;

/// Interval at which new connections are polled, in milliseconds.
const ACCEPT_POLL_MS: u64 = 2;

/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Faults of the proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether new connections are refused.
    pub refuse: bool,
    /// Whether connections are reset.
    pub reset: bool,
    /// Whether connections that are open when the fault is set permanently stop carrying data.
    pub silence_existing: bool,
    /// Faults of the direction to the target.
    pub to_target: DirectionFaults,
    /// Faults of the direction to the client.
    pub to_client: DirectionFaults,
}

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Whether data is discarded.
    pub is_cut: bool,
    /// Time by which data is delayed, in milliseconds.
    pub delay_ms: u64,
}

/// The two directions of a connection.
#[derive(Clone, Copy)]
enum Direction {
    Target,
    Client,
}

struct Connection {
    client: TcpStream,
    target: TcpStream,
    is_silent: AtomicBool,
    faults: Arc<FaultCell<Faults>>,
}

/// Starts a proxy that listens on `address` and connects to `target`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str, target: &str) -> std::io::Result<ListenAddresses> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let faults = Arc::new(FaultCell::new());
    let control = http::start_control(Arc::clone(&faults))?;
    let target = target.to_owned();
    thread::spawn(move || accept(listener, &target, &faults));
    Ok(ListenAddresses { address, control })
}

fn accept(listener: TcpListener, target: &str, faults: &Arc<FaultCell<Faults>>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut connections: Vec<Arc<Connection>> = Vec::new();
    let mut was_silenced = false;
    loop {
        let current_faults = faults.get();
        if current_faults.silence_existing && !was_silenced {
            for connection in &connections {
                connection.is_silent.store(true, Ordering::SeqCst);
            }
        }
        was_silenced = current_faults.silence_existing;
        connections.retain(|connection| Arc::strong_count(connection) > 1);
        if current_faults.refuse {
            // The kernel refuses connections only while no listener is open.
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        let accepted = listener.as_ref().and_then(try_accept);
        let Some(client) = accepted else {
            thread::sleep(Duration::from_millis(ACCEPT_POLL_MS));
            continue;
        };
        connections.extend(connect(client, target, faults));
    }
}

fn try_accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).ok()?;
    let (client, _) = listener.accept().ok()?;
    client.set_nonblocking(false).ok()?;
    Some(client)
}

fn connect(
    client: TcpStream,
    target: &str,
    faults: &Arc<FaultCell<Faults>>,
) -> Option<Arc<Connection>> {
    let target = TcpStream::connect(target).ok()?;
    for stream in [&client, &target] {
        stream.set_nodelay(true).ok()?;
        let poll = Duration::from_millis(POLL_MS);
        stream.set_read_timeout(Some(poll)).ok()?;
    }
    let connection = Arc::new(Connection {
        client,
        target,
        is_silent: AtomicBool::new(false),
        faults: Arc::clone(faults),
    });
    for direction in [Direction::Target, Direction::Client] {
        let connection = Arc::clone(&connection);
        thread::spawn(move || connection.copy_data(direction));
    }
    Some(connection)
}

impl Connection {
    /// Copies data in one direction until the connection ends.
    fn copy_data(&self, direction: Direction) {
        let (mut from, mut to) = match direction {
            Direction::Target => (&self.client, &self.target),
            Direction::Client => (&self.target, &self.client),
        };
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer);
            let faults = self.faults.get();
            if faults.reset {
                return self.reset();
            }
            let direction_faults = match direction {
                Direction::Target => faults.to_target,
                Direction::Client => faults.to_client,
            };
            let is_discarded = direction_faults.is_cut || self.is_silent.load(Ordering::SeqCst);
            let length = match read {
                Ok(length) => length,
                Err(error) if is_retry(error.kind()) => continue,
                Err(_) => 0,
            };
            if length == 0 {
                if !is_discarded {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
            if is_discarded {
                continue;
            }
            thread::sleep(Duration::from_millis(direction_faults.delay_ms));
            if to.write_all(&buffer[..length]).is_err() {
                return self.reset();
            }
        }
    }

    /// Makes the kernel send a TCP reset on both sides once both copying threads have dropped the connection.
    fn reset(&self) {
        for stream in [&self.client, &self.target] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

fn is_retry(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
