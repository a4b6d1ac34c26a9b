//! Summaries that one VM sends to other data centres on behalf of all VMs in its data centre.
//!
//! Adverts from each VM to each other VM grow with the square of the number of VMs, and in a large fleet most of them
//! would cross data centres. Summaries replace these.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::forwarding::endpoints::Demand;
use crate::forwarding::endpoints::limits::LimitNotice;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::lanes::ServiceDemand;
use crate::hash::hash_name;
use crate::hash::mix;
use crate::state::evidence::CrashFinding;

/// Maximum number of VMs in one part, so that it fits into a datagram.
const VMS_PER_PART: usize = 40;

/// Maximum number of endpoint demands in one part.
const DEMANDS_PER_PART: usize = 120;

/// Age after which a summary is stale and the load in it is discarded, in milliseconds.
const STALE_MS: u64 = 1_300;

/// State of a VM in a summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmState {
    /// Name of the VM.
    pub vm: Name,
    /// Unix time of the start of its process, in milliseconds.
    pub incarnation: u64,
    /// Sequence number of its newest advert within the incarnation.
    pub sequence: u64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Time since that advert was received, in milliseconds.
    pub age_ms: u64,
}

/// A part of the summary of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Data centre that it describes.
    pub data_centre: Name,
    /// VM that sent it.
    pub vm: Name,
    /// Unix time of the start of the sender's process, in milliseconds.
    pub incarnation: u64,
    /// Sequence number of the summary within the incarnation.
    pub sequence: u64,
    /// Index of the part.
    pub part: usize,
    /// Number of parts.
    pub parts: usize,
    /// Whether it comes from another data centre and must still be forwarded to the other VMs of this one.
    pub is_remote: bool,
    /// VMs of the data centre.
    pub vms: Vec<VmState>,
    /// Total load of these VMs on each endpoint, by the hash of the endpoint's id.
    pub demands: Vec<(u64, Demand)>,
    /// Total demand of their callers for each service, by the hash of the service's name.
    pub service_demands: Vec<(u64, ServiceDemand)>,
    /// Contents that crashed endpoints.
    pub findings: Vec<CrashFinding>,
    /// Endpoints that announced that they are leaving.
    pub leaving: Vec<Incarnation>,
    /// Rate limits of endpoints, and limits that were lifted recently.
    pub limits: Vec<LimitNotice>,
}

impl Summary {
    /// Splits a summary into parts that fit into datagrams; the lists that do not grow with the fleet go into the first.
    pub fn split(mut self) -> Vec<Self> {
        let by_vms = self.vms.len().div_ceil(VMS_PER_PART);
        let by_demands = self.demands.len().div_ceil(DEMANDS_PER_PART);
        let parts = by_vms.max(by_demands).max(1);
        let all_vms = std::mem::take(&mut self.vms);
        let all_demands = std::mem::take(&mut self.demands);
        let mut vms = all_vms.chunks(VMS_PER_PART);
        let mut demands = all_demands.chunks(DEMANDS_PER_PART);
        let mut split = Vec::new();
        for part in 0..parts {
            split.push(Self {
                data_centre: self.data_centre.clone(),
                vm: self.vm.clone(),
                part,
                parts,
                vms: vms.next().unwrap_or_default().to_vec(),
                demands: demands.next().unwrap_or_default().to_vec(),
                service_demands: std::mem::take(&mut self.service_demands),
                findings: std::mem::take(&mut self.findings),
                leaving: std::mem::take(&mut self.leaving),
                limits: std::mem::take(&mut self.limits),
                ..self
            });
        }
        split
    }

    /// Returns the key under which the load in this part is stored.
    pub fn source(&self) -> Name {
        source_name(&self.data_centre, self.part)
    }
}

fn source_name(data_centre: &Name, part: usize) -> Name {
    Name::from(format!("data centre {}, part {part}", data_centre.as_str()))
}

/// Returns the VMs of a data centre in the order in which they become its representative, which sends its summaries.
///
/// The first VM that is alive is the representative.
pub fn representative_order<'a>(vms: impl IntoIterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut vms: Vec<&Name> = vms.into_iter().collect();
    vms.sort_by_key(|vm| (mix(!hash_name(vm.as_str())), *vm));
    vms
}

/// Sequence numbers and arrival times of the newest summary parts of the other data centres.
#[derive(Debug, Default)]
pub struct Summaries {
    parts: HashMap<(Name, usize), ReceivedPart>,
}

#[derive(Debug)]
struct ReceivedPart {
    vm: Name,
    version: (u64, u64),
    received_at_ms: u64,
}

impl Summaries {
    /// Records a part; returns whether it is newer than the last one from the same VM.
    ///
    /// Datagrams may arrive out of order; older parts are ignored.
    pub fn insert(&mut self, summary: &Summary, now_ms: u64) -> bool {
        let version = (summary.incarnation, summary.sequence);
        let key = (summary.data_centre.clone(), summary.part);
        let known = self.parts.get(&key);
        if known.is_some_and(|known| known.vm == summary.vm && version <= known.version) {
            return false;
        }
        let known = ReceivedPart {
            vm: summary.vm.clone(),
            version,
            received_at_ms: now_ms,
        };
        self.parts.insert(key, known);
        true
    }

    /// Returns whether there is a fresh summary of a data centre.
    pub fn has_fresh(&self, data_centre: &Name, now_ms: u64) -> bool {
        let known = self.parts.get(&(data_centre.clone(), 0));
        known.is_some_and(|known| now_ms.saturating_sub(known.received_at_ms) < STALE_MS)
    }

    /// Removes stale parts; returns the keys under which their load is stored.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Name> {
        let mut expired = Vec::new();
        self.parts.retain(|(data_centre, part), known| {
            let is_fresh = now_ms.saturating_sub(known.received_at_ms) < STALE_MS;
            if !is_fresh {
                expired.push(source_name(data_centre, *part));
            }
            is_fresh
        });
        expired
    }
}
