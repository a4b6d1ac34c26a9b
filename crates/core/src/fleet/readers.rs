//! Selection of the VMs that read the log service for the others.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::hash::hash_name;
use crate::hash::mix;

/// Number of VMs per reader.
const VMS_PER_READER: usize = 32;

/// Additional readers, so that one can fail.
const SPARE_READERS: usize = 1;

/// A VM that can be a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address for other VMs.
    pub address: SocketAddr,
}

/// Returns the number of readers in a fleet of `vms` VMs.
pub fn reader_count(vms: usize) -> usize {
    (SPARE_READERS + vms.div_ceil(VMS_PER_READER)).min(vms)
}

/// Returns the readers among the members: spread over the data centres, then by rendezvous order.
///
/// VMs with the same member list choose the same readers. If the lists differ, each VM still either reads the log service
/// or has a reader to ask.
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

/// Orders readers by preference for a VM: those in its data centre first, then by a hash that spreads the VMs.
pub fn order_for<'a>(
    mut readers: Vec<&'a Member>,
    vm: &Name,
    data_centre: &Name,
) -> Vec<&'a Member> {
    let vm_hash = hash_name(vm.as_str());
    readers.retain(|member| member.vm != *vm);
    readers.sort_by_key(|member| {
        let is_remote = member.data_centre != *data_centre;
        (is_remote, mix(vm_hash ^ hash_name(member.vm.as_str())))
    });
    readers
}
