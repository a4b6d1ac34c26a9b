//! Assignment of shards to the members that schedule them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use waxwing_core::Name;
use waxwing_core::coordination::rendezvous;
use waxwing_core::state::settings::Policy;
use waxwing_core::state::settings::Pool;
use waxwing_core::state::settings::Scheduling;
use waxwing_wire::peer::Shard;

use crate::config::Vm;
use crate::shared::Member;
use crate::shared::View;

/// Returns the shard for requests received by a VM in `data_centre`.
///
/// A data centre without endpoints of the pool uses another one, which is the same for all its VMs.
pub(super) fn pool_shard(name: &Name, pool: &Pool, data_centre: &Name) -> Shard {
    let data_centre = match (pool.policy, pool.scheduling) {
        (Policy::Baseline, _) | (_, Scheduling::Deployment) => None,
        (Policy::Tiers, Scheduling::DataCentre) => {
            let all: BTreeSet<&Name> = pool.endpoints.iter().map(|it| &it.data_centre).collect();
            if all.is_empty() || all.contains(data_centre) {
                Some(data_centre.clone())
            } else {
                let order = rendezvous::rank_candidates(&format!("{name}/{data_centre}"), all);
                order.first().copied().cloned()
            }
        }
    };
    Shard {
        pool: name.clone(),
        data_centre,
    }
}

/// Returns the member that schedules the shard, unless it is in `skipped`.
///
/// A member that is not eligible is chosen only if no other is left, so that a shard always has an owner.
pub(super) fn select_owner<'a>(
    view: &'a View,
    shard: &Shard,
    skipped: &[Name],
) -> Option<&'a Member> {
    let data_centre = shard.data_centre.as_ref();
    let is_near = |member: &Member| data_centre.is_none_or(|name| member.data_centre == *name);
    let mut candidates: Vec<&Member> = Vec::new();
    for member in &view.members {
        if !skipped.contains(&member.name) && member.is_reachable {
            candidates.push(member);
        }
    }
    let preferences: [&dyn Fn(&Member) -> bool; 3] = [
        &|member| member.is_eligible() && is_near(member),
        &|member| member.is_eligible(),
        &|_| true,
    ];
    let subject = match data_centre {
        Some(name) => format!("{}/{name}", shard.pool),
        None => format!("{}/", shard.pool),
    };
    for is_preferred in preferences {
        let names = candidates
            .iter()
            .filter(|member| is_preferred(member))
            .map(|member| &member.name);
        if let Some(first) = rendezvous::rank_candidates(&subject, names).first() {
            return candidates.into_iter().find(|member| member.name == **first);
        }
    }
    None
}

/// Returns the member that schedules the requests of a VM, for each pool that has an owner.
pub(crate) fn pool_owners(view: &View, vm: &Vm) -> BTreeMap<Name, Name> {
    let mut owners = BTreeMap::new();
    for (name, pool) in &view.settings.pools {
        if pool.policy == Policy::Baseline {
            continue;
        }
        let shard = pool_shard(name, pool, &vm.data_centre);
        if let Some(owner) = select_owner(view, &shard, &[]) {
            owners.insert(name.clone(), owner.name.clone());
        }
    }
    owners
}

/// Returns whether the VM schedules the endpoints of the pool in `data_centre`.
///
/// With the baseline policy every VM schedules every endpoint.
pub(crate) fn is_scheduled_by(
    view: &View,
    vm: &Vm,
    name: &Name,
    pool: &Pool,
    data_centre: &Name,
) -> bool {
    if pool.policy == Policy::Baseline {
        return true;
    }
    let shard = pool_shard(name, pool, data_centre);
    let owner = select_owner(view, &shard, &[]);
    owner.is_some_and(|owner| owner.name == vm.name)
}
