//! Permits for endpoints with a rate limit: the sum over all VMs, its windows, and who gets the permits.
//!
//! The simulation runs the code of the VMs under random views of each other and random orders of messages.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::peers::ADVERT_INTERVAL_MS;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::peers::Peers;
use waxwing_core::forwarding::peers::PeersConfig;
use waxwing_core::forwarding::permits::Allocator;
use waxwing_core::forwarding::permits::PermitRequest;
use waxwing_core::forwarding::permits::Permits;
use waxwing_core::forwarding::permits::Verdict;
use waxwing_core::forwarding::permits::select_allocator;

/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time for an answer, in milliseconds, as the VMs allow it.
const ANSWER_MS: u64 = 100;

/// Time after which a VM without an answer asks again, in milliseconds.
const RETRY_MS: u64 = 300;

/// Step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 5;

const ENDPOINT: Incarnation = Incarnation(77);

/// Returns the most sends in any window.
fn most_in_window(sends: &[u64]) -> usize {
    let mut most = 0;
    for (index, start) in sends.iter().enumerate() {
        let rest = &sends[index..];
        most = most.max(rest.partition_point(|at| *at < start + WINDOW_MS));
    }
    most
}

fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

fn request(vm: u64, level: u8) -> PermitRequest {
    PermitRequest {
        endpoint: ENDPOINT,
        vm,
        level: UrgencyLevel::from(level),
    }
}

/// A VM of the simulation.
struct Vm {
    name: Name,
    peers: Peers,
    permits: Permits,
    incarnation: u64,
    sequence: u64,
    /// Times until which it may not ask, by level.
    denied_until_ms: BTreeMap<u8, u64>,
    /// Time and level of the question that is not answered yet.
    asked: Option<(u64, u8)>,
    is_down: bool,
    is_paused: bool,
    questions: usize,
    sends: Vec<(u64, u8)>,
}

#[derive(Clone)]
enum Message {
    Advert(Box<Advert>),
    Question { from: usize, level: u8, at_ms: u64 },
    Answer { verdict: Verdict, at_ms: u64 },
}

struct Fleet {
    vms: Vec<Vm>,
    /// Side of a partition that each VM is on.
    sides: Vec<usize>,
    /// Messages by time of arrival.
    under_way: BTreeMap<u64, Vec<(usize, usize, Message)>>,
    random: ChaCha8Rng,
    limit: RateLimit,
    /// Requests of each VM and level in a second.
    demand_per_s: f64,
    levels: u8,
    loss: f64,
}

fn new_peers(name: &Name, vms: usize) -> Peers {
    let mut peers = Peers::new(PeersConfig {
        vm: name.clone(),
        data_centre: Name::from("a"),
        direct_vms_max: vms,
    });
    for index in 0..vms {
        let other = vm_name(index);
        if other != *name {
            peers.add(other, "127.0.0.1:1".parse().unwrap(), 0);
        }
    }
    peers
}

fn vm_name(index: usize) -> Name {
    Name::from(format!("vm{index}"))
}

impl Fleet {
    fn new(seed: u64, vms: usize, limit_per_s: f64) -> Self {
        let new_vm = |index: usize| Vm {
            name: vm_name(index),
            peers: new_peers(&vm_name(index), vms),
            permits: Permits::new(0),
            incarnation: 1,
            sequence: 0,
            denied_until_ms: BTreeMap::new(),
            asked: None,
            is_down: false,
            is_paused: false,
            questions: 0,
            sends: Vec::new(),
        };
        Self {
            vms: (0..vms).map(new_vm).collect(),
            sides: vec![0; vms],
            under_way: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            limit: RateLimit::PerSecond(limit_per_s),
            demand_per_s: 10.0,
            levels: 1,
            loss: 0.0,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        if self.sides[from] != self.sides[to] || self.random.random_bool(self.loss) {
            return;
        }
        let arrival_ms = now_ms + self.random.random_range(1..30) / STEP_MS * STEP_MS;
        let at = self.under_way.entry(arrival_ms).or_default();
        at.push((from, to, message));
    }

    /// Restarts a VM with nothing but the addresses of the others.
    fn restart(&mut self, index: usize, now_ms: u64) {
        let vms = self.vms.len();
        let vm = &mut self.vms[index];
        vm.peers = new_peers(&vm.name, vms);
        vm.permits = Permits::new(now_ms);
        vm.incarnation += 1;
        vm.sequence = 0;
        vm.denied_until_ms.clear();
        vm.asked = None;
        vm.is_down = false;
    }

    fn step(&mut self, now_ms: u64) {
        let due: Vec<u64> = self.under_way.range(..=now_ms).map(|(at, _)| *at).collect();
        for at in due {
            for (from, to, message) in self.under_way.remove(&at).unwrap() {
                if self.vms[to].is_down || self.sides[from] != self.sides[to] {
                    continue;
                }
                if self.vms[to].is_paused {
                    // A suspended VM reads its messages when it wakes.
                    let later = self.under_way.entry(now_ms + STEP_MS).or_default();
                    later.push((from, to, message));
                    continue;
                }
                self.receive(from, to, message, now_ms);
            }
        }
        for index in 0..self.vms.len() {
            if self.vms[index].is_down || self.vms[index].is_paused {
                continue;
            }
            if now_ms.is_multiple_of(ADVERT_INTERVAL_MS) {
                self.advertise(index, now_ms);
            }
            for level in 0..self.levels {
                let share = self.demand_per_s * STEP_MS as f64 / 1_000.0;
                if self.random.random_bool(share.min(1.0)) {
                    self.try_send(index, level, now_ms);
                }
            }
        }
    }

    fn advertise(&mut self, index: usize, now_ms: u64) {
        let address = "127.0.0.1:1".parse().unwrap();
        let vm = &mut self.vms[index];
        vm.sequence += 1;
        let advert = Advert {
            vm: vm.name.clone(),
            incarnation: vm.incarnation,
            sequence: vm.sequence,
            front: address,
            peer: address,
            data_centre: Name::from("a"),
            is_ready: true,
            configuration_version: 1,
            demands: Vec::new(),
            service_demands: Vec::new(),
            findings: Vec::new(),
            leaving: Vec::new(),
            limits: Vec::new(),
        };
        for other in 0..self.vms.len() {
            if other != index {
                self.send(
                    index,
                    other,
                    Message::Advert(Box::new(advert.clone())),
                    now_ms,
                );
            }
        }
    }

    /// Returns the allocator that a VM sees; `None` if it is itself.
    fn allocator(&self, index: usize, now_ms: u64) -> Option<usize> {
        let vm = &self.vms[index];
        let members = vm.peers.members(now_ms);
        match select_allocator(ENDPOINT, &members, Some(&vm.name)) {
            Allocator::Local => None,
            Allocator::Remote(member) => self.vms.iter().position(|vm| vm.name == member.vm),
        }
    }

    fn decide(&mut self, index: usize, asking: usize, level: u8, now_ms: u64) -> Verdict {
        let limit = self.limit;
        let vm = &mut self.vms[index];
        let heard = vm.peers.heard_fraction(now_ms);
        let request = request(asking as u64, level);
        vm.permits.ask(request, limit, heard, now_ms)
    }

    fn try_send(&mut self, index: usize, level: u8, now_ms: u64) {
        let allocator = self.allocator(index, now_ms);
        let vm = &mut self.vms[index];
        vm.permits.retain(|_| allocator.is_none(), now_ms);
        if vm
            .asked
            .is_some_and(|(at_ms, _)| now_ms - at_ms > ANSWER_MS)
        {
            vm.asked = None;
            vm.denied_until_ms.insert(0, now_ms + RETRY_MS);
        }
        let mut denied = vm.denied_until_ms.range(..=level);
        if vm.asked.is_some() || denied.any(|(_, until_ms)| now_ms < *until_ms) {
            return;
        }
        vm.questions += 1;
        let Some(allocator) = allocator else {
            let verdict = self.decide(index, index, level, now_ms);
            self.apply(index, level, verdict, now_ms);
            return;
        };
        vm.asked = Some((now_ms, level));
        let question = Message::Question {
            from: index,
            level,
            at_ms: now_ms,
        };
        self.send(index, allocator, question, now_ms);
    }

    fn apply(&mut self, index: usize, level: u8, verdict: Verdict, now_ms: u64) {
        let vm = &mut self.vms[index];
        match verdict {
            Verdict::Granted => vm.sends.push((now_ms, level)),
            Verdict::Wait { for_ms } => {
                vm.denied_until_ms.insert(level, now_ms + for_ms);
            }
        }
    }

    fn receive(&mut self, sender: usize, to: usize, message: Message, now_ms: u64) {
        match message {
            Message::Advert(advert) => {
                self.vms[to].peers.apply_advert(&advert, now_ms);
            }
            Message::Question { from, level, at_ms } => {
                let verdict = match self.allocator(to, now_ms) {
                    None => self.decide(to, from, level, now_ms),
                    Some(_) => Verdict::Wait { for_ms: RETRY_MS },
                };
                self.send(to, sender, Message::Answer { verdict, at_ms }, now_ms);
            }
            Message::Answer { verdict, at_ms } => {
                let asked = self.vms[to].asked;
                let Some((_, level)) = asked.filter(|(asked_ms, _)| *asked_ms == at_ms) else {
                    return;
                };
                if now_ms - at_ms <= ANSWER_MS {
                    self.vms[to].asked = None;
                    self.apply(to, level, verdict, now_ms);
                }
            }
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            self.step(now_ms);
        }
    }

    /// Returns when requests were sent, over all VMs.
    fn sends(&self) -> Vec<u64> {
        let mut sends = Vec::new();
        for vm in &self.vms {
            sends.extend(vm.sends.iter().map(|(at_ms, _)| *at_ms));
        }
        sends.sort_unstable();
        sends
    }

    fn assert_limit_kept(&self, limit_per_s: f64, what: &str) {
        let most = most_in_window(&self.sends());
        println!("{what}: {most} requests in 4 s");
        assert!(
            most as f64 <= allowed(limit_per_s),
            "{what}: {most} requests in 4 s, allowed {}",
            allowed(limit_per_s)
        );
    }
}

/// Guards against a limit that is multiplied by the number of VMs, or not used, from 5 VMs to 412.
#[test]
fn fleet_sizes() {
    for (vms, limit_per_s, until_ms) in [
        (1, 3.0, 30_000),
        (5, 0.5, 60_000),
        (5, 1.4, 30_000),
        (5, 50.0, 20_000),
        (118, 1.0, 30_000),
        (412, 1.0, 16_000),
    ] {
        let mut fleet = Fleet::new(1, vms, limit_per_s);
        fleet.run(0, until_ms);
        let what = format!("{vms} VMs, {limit_per_s} a second");
        fleet.assert_limit_kept(limit_per_s, &what);
        // The VMs grant no permits in their first seconds.
        let expected = limit_per_s * (until_ms - 5_000) as f64 / 1_000.0;
        let sends = fleet.sends().len();
        assert!(
            sends as f64 >= expected * 0.7,
            "{what}: {sends} requests of {expected}"
        );
    }
}

/// Guards against questions to the allocator that grow with the demand or with the number of VMs.
#[test]
fn questions_per_vm() {
    for vms in [10, 100, 400] {
        let mut fleet = Fleet::new(2, vms, 1.0);
        fleet.demand_per_s = 50.0;
        fleet.run(0, 15_000);
        let questions: usize = fleet.vms.iter().map(|vm| vm.questions).sum();
        let per_vm_s = questions as f64 / vms as f64 / 15.0;
        assert!(
            per_vm_s < 2.0,
            "{vms} VMs: {per_vm_s} questions a second each"
        );
    }
}

/// Guards against a sum beyond the limit while VMs are killed, started and suspended, parts of the fleet do not hear
/// each other, and messages are lost or late.
#[test]
fn random_views() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let vms = random.random_range(2..9);
        let limit_per_s = [0.3, 1.0, 1.4, 4.0, 20.0][random.random_range(0..5usize)];
        let mut fleet = Fleet::new(seed, vms, limit_per_s);
        fleet.loss = random.random_range(0.0..0.05);
        let mut now_ms = 0;
        while now_ms < 40_000 {
            let until_ms = now_ms + random.random_range(20..400) * STEP_MS;
            fleet.run(now_ms, until_ms);
            now_ms = until_ms;
            let index = random.random_range(0..vms);
            match random.random_range(0..7) {
                0 => fleet.vms[index].is_down = true,
                1 | 2 if fleet.vms[index].is_down => fleet.restart(index, now_ms),
                1 => fleet.vms[index].is_paused = true,
                2 | 3 => fleet.vms[index].is_paused = false,
                4 => fleet.sides[index] = random.random_range(0..3),
                5 => fleet.sides.fill(0),
                _ => continue,
            }
        }
        fleet.assert_limit_kept(limit_per_s, &format!("seed {seed}, {vms} VMs"));
    }
}

/// Guards against a part of the limit that stays lost with a VM.
#[test]
fn lost_vm() {
    let mut fleet = Fleet::new(4, 4, 2.0);
    fleet.run(0, 8_000);
    let allocator = (0..4)
        .find(|index| fleet.allocator(*index, 8_000).is_none())
        .unwrap();
    fleet.vms[allocator].is_down = true;
    fleet.run(8_000, 30_000);
    fleet.assert_limit_kept(2.0, "a lost allocator");
    let sends = fleet.sends();
    let after = sends.iter().filter(|at_ms| **at_ms > 11_000).count();
    assert!(after >= 20, "{after} requests in 19 s");
}

/// Guards against VMs that grant permits right after they started, before they have heard the others.
#[test]
fn restarts_in_turn() {
    let vms = 24;
    let mut fleet = Fleet::new(6, vms, 20.0);
    fleet.demand_per_s = 100.0;
    fleet.run(0, 10_000);
    let mut now_ms = 10_000;
    for index in 0..vms {
        fleet.restart(index, now_ms);
        fleet.run(now_ms, now_ms + 150);
        now_ms += 150;
    }
    fleet.run(now_ms, now_ms + 8_000);
    // What one allocator grants in a window: the limit for 4 s, and what it saved up in 250 ms.
    let most = most_in_window(&fleet.sends());
    assert!(most <= 80 + 6, "{most} requests in 4 s");
}

/// Guards against an allocator that uses permits of the time in which another VM was the allocator.
#[test]
fn regained_endpoint() {
    let mut permits = Permits::new(0);
    let limit = RateLimit::PerSecond(20.0);
    permits.ask(request(0, 0), limit, 1.0, 10_000);
    permits.retain(|_| false, 10_200);
    assert!(matches!(
        permits.ask(request(0, 0), limit, 1.0, 12_000),
        Verdict::Wait { .. }
    ));
}

/// Guards against permits that are saved up while nobody asks, or while the clock is suspended.
#[test]
fn nothing_saved() {
    let mut permits = Permits::new(0);
    let limit = RateLimit::PerSecond(2.0);
    assert!(matches!(
        permits.ask(request(0, 0), limit, 1.0, 10_000),
        Verdict::Wait { .. }
    ));
    for now_ms in [60_000, 3_600_000] {
        let mut granted = 0;
        for vm in 0..50 {
            granted +=
                u32::from(permits.ask(request(vm, 0), limit, 1.0, now_ms) == Verdict::Granted);
        }
        assert_eq!(granted, 1);
    }
}

/// Guards against a second burst when the rate changes.
#[test]
fn changed_rate() {
    let mut permits = Permits::new(0);
    let mut granted = 0;
    for now_ms in (5_000..9_000).step_by(10) {
        let limit = RateLimit::PerSecond(if now_ms / 50 % 2 == 0 { 2.0 } else { 1.0 });
        granted += u32::from(permits.ask(request(0, 0), limit, 1.0, now_ms) == Verdict::Granted);
    }
    assert!((3..=9).contains(&granted), "{granted}");
}

/// Urgent requests must get most permits, and no level none.
#[test]
fn urgent_first() {
    let mut fleet = Fleet::new(5, 4, 4.0);
    fleet.levels = 4;
    fleet.run(0, 60_000);
    fleet.assert_limit_kept(4.0, "four levels");
    let mut by_level = [0; 4];
    for vm in &fleet.vms {
        for (_, level) in &vm.sends {
            by_level[usize::from(*level)] += 1;
        }
    }
    println!("sends by level: {by_level:?}");
    assert!(by_level[0] > by_level[3] * 2, "{by_level:?}");
    assert!(by_level.iter().all(|sends| *sends > 0), "{by_level:?}");
}
