//! What one VM of a data centre tells the other data centres of all VMs there.
//!
//! Answers fleets of many VMs: adverts from each VM to each grow with the square of their number, and most of them cross
//! data centres.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::forwarding::endpoints::Demand;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::lanes::ServiceDemand;
use crate::hash::hash_name;
use crate::hash::mix;
use crate::state::evidence::CrashFinding;

/// VMs in one part, so that it fits into a datagram.
const VMS_PER_PART: usize = 40;

/// Demands in one part.
const DEMANDS_PER_PART: usize = 120;

/// Silence after which the load of another data centre is left out of account, in milliseconds.
const STALE_MS: u64 = 1_300;

/// A VM in a summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmState {
    /// Name of the VM.
    pub vm: Name,
    /// Unix time of the start of its process, in milliseconds.
    pub incarnation: u64,
    /// Number of its newest advert within the incarnation.
    pub sequence: u64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// Time since that advert was heard, in milliseconds.
    pub age_ms: u64,
}

/// A part of the summary of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Data centre that it is about.
    pub data_centre: Name,
    /// VM that wrote it.
    pub vm: Name,
    /// Unix time of the start of the writer's process, in milliseconds.
    pub incarnation: u64,
    /// Number of the summary within the incarnation.
    pub sequence: u64,
    /// Index of the part.
    pub part: usize,
    /// Number of parts.
    pub parts: usize,
    /// Whether it comes from another data centre and is still to be passed on within this one.
    pub is_remote: bool,
    /// VMs of the data centre.
    pub vms: Vec<VmState>,
    /// Load that these VMs together put on endpoints, by the hashes of their ids.
    pub demands: Vec<(u64, Demand)>,
    /// What their callers ask for, by the hashes of the services' names.
    pub service_demands: Vec<(u64, ServiceDemand)>,
    /// Contents that crashed endpoints.
    pub findings: Vec<CrashFinding>,
    /// Endpoints that said that they leave.
    pub leaving: Vec<Incarnation>,
}

impl Summary {
    /// Splits a summary into parts that fit into datagrams; what does not grow with the fleet goes with the first.
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
                ..self
            });
        }
        split
    }

    /// Returns the name under which the load in this part is kept.
    pub fn source(&self) -> Name {
        source_name(&self.data_centre, self.part)
    }
}

fn source_name(data_centre: &Name, part: usize) -> Name {
    Name::from(format!("data centre {}, part {part}", data_centre.as_str()))
}

/// Returns the VMs of a data centre in the order in which they speak for it: the first one does while it is heard.
pub fn representative_order<'a>(vms: impl IntoIterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut vms: Vec<&Name> = vms.into_iter().collect();
    vms.sort_by_key(|vm| (mix(!hash_name(vm.as_str())), *vm));
    vms
}

/// The newest summary of each part of each other data centre.
#[derive(Debug, Default)]
pub struct Summaries {
    known: HashMap<(Name, usize), Known>,
}

#[derive(Debug)]
struct Known {
    vm: Name,
    order: (u64, u64),
    heard_at_ms: u64,
}

impl Summaries {
    /// Takes a part in; returns whether it is news.
    ///
    /// Datagrams overtake each other; what the same VM wrote earlier is ignored.
    pub fn insert(&mut self, summary: &Summary, now_ms: u64) -> bool {
        let order = (summary.incarnation, summary.sequence);
        let key = (summary.data_centre.clone(), summary.part);
        let known = self.known.get(&key);
        if known.is_some_and(|known| known.vm == summary.vm && order <= known.order) {
            return false;
        }
        let known = Known {
            vm: summary.vm.clone(),
            order,
            heard_at_ms: now_ms,
        };
        self.known.insert(key, known);
        true
    }

    /// Returns whether the load of a data centre is known from its summary.
    pub fn has_fresh(&self, data_centre: &Name, now_ms: u64) -> bool {
        let known = self.known.get(&(data_centre.clone(), 0));
        known.is_some_and(|known| now_ms.saturating_sub(known.heard_at_ms) < STALE_MS)
    }

    /// Forgets the parts that were not heard lately; returns the names under which their load is kept.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Name> {
        let mut expired = Vec::new();
        self.known.retain(|(data_centre, part), known| {
            let is_fresh = now_ms.saturating_sub(known.heard_at_ms) < STALE_MS;
            if !is_fresh {
                expired.push(source_name(data_centre, *part));
            }
            is_fresh
        });
        expired
    }
}
