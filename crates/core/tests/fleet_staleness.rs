//! Simulation of the staleness of many VMs in virtual time: no VM exceeds the bound or claims to be fresher than it is,
//! while VMs are paused, suspended, partitioned and restarted, and answers are late.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::fleet::Member;
use waxwing_core::fleet::Position;
use waxwing_core::fleet::Role;
use waxwing_core::fleet::SyncState;
use waxwing_core::fleet::Timing;
use waxwing_core::fleet::readers;
use waxwing_core::fleet::sync_state::as_of_ms;

/// Staleness bound, in milliseconds.
const BOUND_MS: u64 = 2_000;

/// Duration of a simulation, in milliseconds.
const RUN_MS: u64 = 30_000;

/// Time after a fault in which a VM may exceed the bound, in milliseconds.
const RECOVERY_MS: u64 = 3_000;

/// Mechanism that is disabled, to verify that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// Followers never read the log service themselves.
    FollowerReads,
    /// Answers are treated as valid at their arrival.
    AnswerAges,
    /// Data older than the current copy is applied too.
    OffsetCheck,
    /// The clock does not advance while a VM is suspended.
    SuspendedTime,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A record is appended to the log.
    Append,
    /// A VM runs its periodic step.
    Wake(usize),
    /// An answer of the log service arrives: end of the log, and time as of which it is valid.
    Read(usize, u64, u64),
    /// An answer of a reader arrives: offset, time at which it was built, staleness then, and time of the request.
    View(usize, u64, u64, u64, u64),
    /// A VM pauses for a time; the flag says whether its clock continues.
    Pause(usize, u64, bool),
    /// A VM cannot reach the log service for a time.
    Partition(usize, u64),
    /// A process restarts without state.
    Restart(usize),
}

#[derive(Clone, Default)]
struct Vm {
    sync_state: SyncState,
    /// Offset up to which records are applied.
    applied: u64,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
    /// Time by which the clock of the VM is behind.
    lag_ms: u64,
    /// Time since which it has no fault.
    healthy_since_ms: u64,
}

struct Fleet {
    disabled: Disabled,
    timing: Timing,
    members: Vec<Member>,
    vms: Vec<Vm>,
    /// Append times of the records.
    log: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    random: ChaCha8Rng,
    reads: u64,
    requests: u64,
    ages_ms: Vec<u64>,
    violation: Option<String>,
}

impl Fleet {
    fn new(count: usize, seed: u64, disabled: Disabled) -> Self {
        let mut members = Vec::new();
        for index in 0..count {
            members.push(Member {
                vm: Name::from(format!("vm-{index}")),
                data_centre: Name::from(format!("dc-{}", index % 4)),
                address: "127.0.0.1:1".parse().unwrap(),
            });
        }
        let mut fleet = Self {
            disabled,
            timing: Timing { bound_ms: BOUND_MS },
            members,
            vms: vec![Vm::default(); count],
            log: Vec::new(),
            events: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            reads: 0,
            requests: 0,
            ages_ms: Vec::new(),
            violation: None,
        };
        for vm in 0..count {
            fleet.add(vm as u64 % 300, Event::Wake(vm));
        }
        fleet.add(0, Event::Append);
        fleet
    }

    fn add(&mut self, at_ms: u64, event: Event) {
        let number = self.random.random();
        self.events.insert((at_ms, number), event);
    }

    fn add_faults(&mut self, count: usize) {
        for _ in 0..count {
            let vm = self.random.random_range(0..self.vms.len());
            let at_ms = self.random.random_range(0..RUN_MS);
            let for_ms = self.random.random_range(200..8_000);
            let event = match self.random.random_range(0..4) {
                0 => Event::Pause(vm, for_ms, true),
                1 => Event::Pause(vm, for_ms, false),
                2 => Event::Partition(vm, for_ms),
                _ => Event::Restart(vm),
            };
            self.add(at_ms, event);
        }
    }

    fn run(&mut self) {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            if now_ms > RUN_MS || self.violation.is_some() {
                return;
            }
            self.apply(now_ms, event);
        }
    }

    fn apply(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Append => {
                self.log.push(now_ms);
                let pause_ms = self.random.random_range(50..900);
                self.add(now_ms + pause_ms, Event::Append);
            }
            Event::Pause(vm, for_ms, clock_runs) => {
                let vm = &mut self.vms[vm];
                vm.paused_until_ms = vm.paused_until_ms.max(now_ms + for_ms);
                vm.healthy_since_ms = vm.healthy_since_ms.max(vm.paused_until_ms);
                if !clock_runs && self.disabled == Disabled::SuspendedTime {
                    vm.lag_ms += for_ms;
                }
            }
            Event::Partition(vm, for_ms) => {
                let vm = &mut self.vms[vm];
                vm.partitioned_until_ms = vm.partitioned_until_ms.max(now_ms + for_ms);
                vm.healthy_since_ms = vm.healthy_since_ms.max(vm.partitioned_until_ms);
            }
            Event::Restart(vm) => {
                let old = std::mem::take(&mut self.vms[vm]);
                self.vms[vm].partitioned_until_ms = old.partitioned_until_ms;
                self.vms[vm].healthy_since_ms = old.healthy_since_ms.max(now_ms);
            }
            Event::Wake(vm) => self.wake(vm, now_ms),
            Event::Read(vm, offset, as_of_ms) => {
                if !self.postpone(vm, now_ms, event) {
                    self.apply_offset(vm, now_ms, offset, as_of_ms, true);
                }
            }
            Event::View(vm, offset, built_ms, age_ms, sent_ms) => {
                if self.postpone(vm, now_ms, event) {
                    return;
                }
                let as_of_ms = match self.disabled {
                    Disabled::AnswerAges => self.clock_ms(vm, now_ms),
                    _ => {
                        let waited_ms = self.clock_ms(vm, built_ms).saturating_sub(sent_ms);
                        as_of_ms(sent_ms, waited_ms.min(built_ms - sent_ms), age_ms)
                    }
                };
                self.apply_offset(vm, now_ms, offset, as_of_ms, false);
            }
        }
    }

    fn clock_ms(&self, vm: usize, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.vms[vm].lag_ms)
    }

    /// Postpones an event of a paused VM to the end of the pause; returns whether it did.
    fn postpone(&mut self, vm: usize, now_ms: u64, event: Event) -> bool {
        let until_ms = self.vms[vm].paused_until_ms;
        if now_ms < until_ms {
            self.add(until_ms, event);
            return true;
        }
        false
    }

    fn wake(&mut self, vm: usize, now_ms: u64) {
        if self.postpone(vm, now_ms, Event::Wake(vm)) {
            return;
        }
        self.check(vm, now_ms);
        let clock_ms = self.clock_ms(vm, now_ms);
        let members = self.members.clone();
        let chosen = readers::choose(&members);
        let own = &members[vm];
        let role = match chosen.iter().any(|member| member.vm == own.vm) {
            true => Role::Reader,
            false => Role::Follower,
        };
        let draw = self.random.random();
        let may_read = role == Role::Reader || self.disabled != Disabled::FollowerReads;
        let sync_state = &mut self.vms[vm].sync_state;
        let is_first = sync_state.position().is_none();
        if (may_read || is_first) && clock_ms >= sync_state.next_read_ms(self.timing, role, draw) {
            sync_state.begin_read(clock_ms);
            self.reads += 1;
            if now_ms < self.vms[vm].partitioned_until_ms {
                self.vms[vm].sync_state.record_failure();
            } else {
                let offset = self.log.len() as u64;
                let late_ms = self.random.random_range(4..120);
                self.add(now_ms + late_ms, Event::Read(vm, offset, clock_ms));
            }
        }
        if role == Role::Follower {
            let readers = readers::order_for(chosen, &own.vm, &own.data_centre);
            let index = self.random.random_range(0..readers.len());
            let reader = &readers[index].vm;
            let reader = self.members.iter().position(|m| m.vm == *reader).unwrap();
            self.send_request(vm, reader, now_ms);
        }
        let pause_ms = self.random.random_range(100..300);
        self.add(now_ms + pause_ms, Event::Wake(vm));
    }

    /// Sends a request to a reader; the request or the answer may be late or lost, and the reader may be paused.
    fn send_request(&mut self, vm: usize, reader: usize, now_ms: u64) {
        self.requests += 1;
        let sent_ms = self.clock_ms(vm, now_ms);
        let built_ms = now_ms.max(self.vms[reader].paused_until_ms) + 2;
        let state = &self.vms[reader];
        let age_ms = state.sync_state.age_ms(self.clock_ms(reader, built_ms));
        let (Some(age_ms), Some(position)) = (age_ms, state.sync_state.position()) else {
            return;
        };
        let offset = position.offset;
        if self.random.random_ratio(1, 20) {
            return;
        }
        let late_ms = match self.random.random_ratio(1, 10) {
            true => self.random.random_range(0..3_000),
            false => 2,
        };
        let view = Event::View(vm, offset, built_ms, age_ms, sent_ms);
        self.add(built_ms + late_ms, view);
    }

    fn apply_offset(
        &mut self,
        vm: usize,
        now_ms: u64,
        offset: u64,
        as_of_ms: u64,
        is_local_read: bool,
    ) {
        let state = &mut self.vms[vm];
        if is_local_read {
            state.sync_state.record_success();
        }
        let position = Position {
            timeline: 0,
            offset,
        };
        let is_accepted = state.sync_state.accepts(position);
        if is_accepted || self.disabled == Disabled::OffsetCheck {
            if offset < state.applied {
                self.violation = Some(format!("vm {vm} went back at {now_ms} ms"));
            }
            state.applied = offset;
            state.sync_state.confirm(position, as_of_ms);
        }
        self.check(vm, now_ms);
    }

    /// Checks the state of a VM against the log.
    fn check(&mut self, vm: usize, now_ms: u64) {
        let state = &self.vms[vm];
        let clock_ms = self.clock_ms(vm, now_ms);
        let Some(age_ms) = state.sync_state.age_ms(clock_ms) else {
            return;
        };
        // All records that existed at the time as of which the state is valid must be applied.
        let as_of_ms = now_ms - age_ms.min(now_ms);
        let existed = self.log.partition_point(|at_ms| *at_ms < as_of_ms) as u64;
        if state.applied < existed {
            let applied = state.applied;
            self.violation = Some(format!(
                "vm {vm} claims at {now_ms} ms to be valid as of {as_of_ms} ms with {applied} of {existed} records"
            ));
        }
        if now_ms < state.healthy_since_ms + RECOVERY_MS || now_ms < RECOVERY_MS {
            return;
        }
        // The first record that is not applied must not be older than the bound.
        let missing_ms = self.log.get(state.applied as usize).copied();
        let late_ms = missing_ms.map_or(0, |at_ms| now_ms - at_ms);
        self.ages_ms.push(late_ms);
        if late_ms > BOUND_MS {
            self.violation = Some(format!(
                "vm {vm} lacks a record for {late_ms} ms at {now_ms} ms"
            ));
        }
    }
}

/// No VM that reaches the log service may exceed the bound or go back to an earlier state, whatever faults others have.
#[test]
fn random_faults() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(30, seed, Disabled::Nothing);
        fleet.add_faults(60);
        fleet.run();
        assert_eq!(fleet.violation, None, "seed {seed}");
    }
}

/// The checks must detect each disabled mechanism.
#[test]
fn missing_mechanisms() {
    let mechanisms = [
        Disabled::FollowerReads,
        Disabled::AnswerAges,
        Disabled::OffsetCheck,
        Disabled::SuspendedTime,
    ];
    for disabled in mechanisms {
        let is_detected = (0..60).any(|seed| {
            let mut fleet = Fleet::new(30, seed, disabled);
            fleet.add_faults(60);
            fleet.run();
            fleet.violation.is_some()
        });
        assert!(is_detected, "{disabled:?}");
    }
}

/// Without faults the number of calls to the log service must grow with the readers, not with the VMs.
#[test]
fn calls_by_readers() {
    for count in [5, 34, 118, 412] {
        let mut fleet = Fleet::new(count, 1, Disabled::Nothing);
        fleet.run();
        assert_eq!(fleet.violation, None, "{count} VMs");
        let period_ms = fleet.timing.period_ms();
        let expected = readers::reader_count(count) as u64 * RUN_MS / period_ms + 2 * count as u64;
        assert!(
            fleet.reads <= expected,
            "{} reads, {count} VMs",
            fleet.reads
        );
        fleet.ages_ms.sort_unstable();
        let age_ms = fleet.ages_ms[fleet.ages_ms.len() * 99 / 100];
        // Without faults the answers of readers are fresh, so that followers need not read the log service.
        assert!(
            age_ms < fleet.timing.stale_after_ms(),
            "99th percentile {age_ms} ms"
        );
    }
}
