//! Raw TCP connection, for input that no HTTP client sends.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::condition;

/// A raw TCP connection to a daemon or stand-in.
#[derive(Debug)]
pub struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    /// Connects to `address`.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails.
    pub fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the daemon accepts connections");
        let timeout = Duration::from_secs(condition::DEADLINE_S);
        let set = stream.set_read_timeout(Some(timeout));
        set.expect("the timeout can be set");
        Self { stream }
    }

    /// Sends bytes and returns whether the write succeeded.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads until the peer closes or resets the connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection stays open without data until the timeout.
    pub fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    panic!("the connection stayed open and silent")
                }
                // A reset after the answer also ends the connection.
                Err(_) => break,
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
