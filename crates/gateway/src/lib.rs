//! Forwards HTTP requests by route to endpoints, and tells callers which VMs to use.
//!
//! One thread carries everything: connections of callers, calls to endpoints and messages between VMs. The
//! decisions are made by [`waxwing_core::forwarding`]; this package does the input and output around them. The
//! headers and formats of outside systems are handled by an implementation of [`Adapter`].

pub mod adapter;
pub mod body;
pub mod client;
pub mod clock;
pub mod error;
pub mod logging;
pub mod metric;
pub mod server;
pub mod settings;
pub mod signals;

mod adverts;
mod budgeted_stream;
mod crashing_parts;
mod exchange;
mod executor;
mod fleet;
mod gateway;
mod headers;
mod latch;
mod memory;
mod permits;
mod progress;
mod relay;
mod replies;
mod request_body;
mod stop;
mod stream_origins;
mod task_delay;
mod trace;
mod write_state;

pub use adapter::Adapter;
pub use crashing_parts::SavedParts;
pub use error::Error;
pub use error::Result;
pub use executor::Executor;
pub use fleet::TopicRead;
pub use gateway::Gateway;
pub use settings::Settings;
pub use stream_origins::SoftwareCheck;
pub use stream_origins::UnsavedStreams;
