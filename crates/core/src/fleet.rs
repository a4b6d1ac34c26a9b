//! Distribution of the configuration and the endpoint list from the log service to all VMs.
//!
//! A few VMs, the readers, poll the log service; the others, the followers, poll the readers. Each VM tracks the
//! staleness of its copy and reads the log service itself before the staleness bound is exceeded, so the failure of a
//! reader costs extra calls to the log service but never breaks the bound. This module does no I/O; the processes pass it
//! the current time.

pub mod readers;
pub mod revisions;
pub mod start_check;
pub mod summary;
pub mod sync_state;
pub mod view;

pub use readers::Member;
pub use start_check::Heard;
pub use start_check::StartCheck;
pub use summary::Summary;
pub use sync_state::Position;
pub use sync_state::Role;
pub use sync_state::SyncState;
pub use sync_state::Timing;
pub use view::Feed;
