//! Which VMs read the log service for the others.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::hash::hash_name;
use crate::hash::mix;

/// VMs for which one more reader is chosen.
const VMS_PER_READER: usize = 32;

/// Readers beside those that the number of VMs asks for, so that the loss of one leaves another.
const SPARE_READERS: usize = 1;

/// A VM that can read for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub vm: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Where it answers other VMs.
    pub address: SocketAddr,
}

/// Returns the number of readers among a number of VMs.
pub fn reader_count(vms: usize) -> usize {
    (SPARE_READERS + vms.div_ceil(VMS_PER_READER)).min(vms)
}

/// Returns the readers among the members, the first in rendezvous order first, spread over the data centres.
///
/// VMs that see the same members agree; where they do not, each still reads or asks somebody.
pub fn choose(members: &[Member]) -> Vec<&Member> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_key(|member| (mix(hash_name(member.vm.as_str())), &member.vm));
    let mut in_data_centre: HashMap<&Name, usize> = HashMap::new();
    let mut placed = Vec::new();
    for member in ranked {
        let earlier = in_data_centre.entry(&member.data_centre).or_default();
        placed.push((*earlier, placed.len(), member));
        *earlier += 1;
    }
    placed.sort_by_key(|(earlier, rank, _)| (*earlier, *rank));
    placed.truncate(reader_count(members.len()));
    placed.into_iter().map(|(_, _, member)| member).collect()
}

/// Orders readers for a VM that asks: those of its own data centre first, then spread by its name.
pub fn order_for<'a>(
    mut readers: Vec<&'a Member>,
    vm: &Name,
    data_centre: &Name,
) -> Vec<&'a Member> {
    let own = hash_name(vm.as_str());
    readers.retain(|member| member.vm != *vm);
    readers.sort_by_key(|member| {
        let is_remote = member.data_centre != *data_centre;
        (is_remote, mix(own ^ hash_name(member.vm.as_str())))
    });
    readers
}
