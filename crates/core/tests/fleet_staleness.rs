//! Beliefs of many VMs in virtual time: nobody believes a thing for longer than the bound, and nobody vouches for more
//! than it knows, while VMs are paused, suspended, cut off and restarted, and answers are late.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::fleet::Member;
use waxwing_core::fleet::Role;
use waxwing_core::fleet::SyncState;
use waxwing_core::fleet::Timing;
use waxwing_core::fleet::readers;
use waxwing_core::fleet::sync_state::as_of_ms;

/// Time within which a change must be in force, in milliseconds.
const BOUND_MS: u64 = 2_000;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 30_000;

/// Time after a pause or a cut in which a VM is not held to the bound, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Which mechanism is switched off, to see that the run notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Followers never read by themselves.
    OwnReads,
    /// Answers are taken as of the time at which they arrive.
    Ages,
    /// What is older than the belief is applied too.
    Order,
    /// The clock stands still while a VM is suspended.
    SuspendedTime,
}

/// What happened at a time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The log grows by a record.
    Append,
    /// A VM looks at what it has to do.
    Wake(usize),
    /// An answer of the log service arrives: end of the log and time as of which it holds.
    Read(usize, u64, u64),
    /// An answer of a reader arrives: offset, time at which it was made, its age then and when it was asked.
    View(usize, u64, u64, u64, u64),
    /// A VM stops for a time; its clock goes on or does not.
    Pause(usize, u64, bool),
    /// The path between a VM and the log service is cut for a time.
    Cut(usize, u64),
    /// A process is started anew and knows nothing.
    Restart(usize),
}

#[derive(Clone, Default)]
struct Vm {
    sync_state: SyncState,
    /// Offset up to which its state holds.
    applied: u64,
    paused_until_ms: u64,
    cut_until_ms: u64,
    /// Time that the clock of the VM lacks.
    lag_ms: u64,
    /// Time since which it is undisturbed.
    calm_since_ms: u64,
}

struct Fleet {
    without: Without,
    timing: Timing,
    members: Vec<Member>,
    vms: Vec<Vm>,
    /// Times of the records.
    log: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    random: ChaCha8Rng,
    reads: u64,
    asked: u64,
    ages_ms: Vec<u64>,
    violation: Option<String>,
}

impl Fleet {
    fn new(count: usize, seed: u64, without: Without) -> Self {
        let mut members = Vec::new();
        for index in 0..count {
            members.push(Member {
                vm: Name::from(format!("vm-{index}")),
                data_centre: Name::from(format!("dc-{}", index % 4)),
                address: "127.0.0.1:1".parse().unwrap(),
            });
        }
        let mut fleet = Self {
            without,
            timing: Timing { bound_ms: BOUND_MS },
            members,
            vms: vec![Vm::default(); count],
            log: Vec::new(),
            events: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            reads: 0,
            asked: 0,
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
                2 => Event::Cut(vm, for_ms),
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
            Event::Pause(vm, for_ms, counts) => {
                let vm = &mut self.vms[vm];
                vm.paused_until_ms = vm.paused_until_ms.max(now_ms + for_ms);
                vm.calm_since_ms = vm.calm_since_ms.max(vm.paused_until_ms);
                if !counts && self.without == Without::SuspendedTime {
                    vm.lag_ms += for_ms;
                }
            }
            Event::Cut(vm, for_ms) => {
                let vm = &mut self.vms[vm];
                vm.cut_until_ms = vm.cut_until_ms.max(now_ms + for_ms);
                vm.calm_since_ms = vm.calm_since_ms.max(vm.cut_until_ms);
            }
            Event::Restart(vm) => {
                let old = std::mem::take(&mut self.vms[vm]);
                self.vms[vm].cut_until_ms = old.cut_until_ms;
                self.vms[vm].calm_since_ms = old.calm_since_ms.max(now_ms);
            }
            Event::Wake(vm) => self.wake(vm, now_ms),
            Event::Read(vm, offset, as_of_ms) => {
                if !self.delay(vm, now_ms, event) {
                    self.hear(vm, now_ms, offset, as_of_ms, true);
                }
            }
            Event::View(vm, offset, made_ms, age_ms, sent_ms) => {
                if self.delay(vm, now_ms, event) {
                    return;
                }
                let as_of_ms = match self.without {
                    Without::Ages => self.clock_ms(vm, now_ms),
                    _ => {
                        let waited_ms = self.clock_ms(vm, made_ms).saturating_sub(sent_ms);
                        as_of_ms(sent_ms, waited_ms.min(made_ms - sent_ms), age_ms)
                    }
                };
                self.hear(vm, now_ms, offset, as_of_ms, false);
            }
        }
    }

    fn clock_ms(&self, vm: usize, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.vms[vm].lag_ms)
    }

    /// A VM that is paused does everything when it wakes.
    fn delay(&mut self, vm: usize, now_ms: u64, event: Event) -> bool {
        let until_ms = self.vms[vm].paused_until_ms;
        if now_ms < until_ms {
            self.add(until_ms, event);
            return true;
        }
        false
    }

    fn wake(&mut self, vm: usize, now_ms: u64) {
        if self.delay(vm, now_ms, Event::Wake(vm)) {
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
        let may_read = role == Role::Reader || self.without != Without::OwnReads;
        let sync_state = &mut self.vms[vm].sync_state;
        let is_first = sync_state.offset().is_none();
        if (may_read || is_first) && clock_ms >= sync_state.next_read_ms(self.timing, role, draw) {
            sync_state.begin_read(clock_ms);
            self.reads += 1;
            if now_ms < self.vms[vm].cut_until_ms {
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
            self.ask(vm, reader, now_ms);
        }
        let pause_ms = self.random.random_range(100..300);
        self.add(now_ms + pause_ms, Event::Wake(vm));
    }

    /// Asks a reader; the question or the answer may be late or lost, and the reader may be paused.
    fn ask(&mut self, vm: usize, reader: usize, now_ms: u64) {
        self.asked += 1;
        let sent_ms = self.clock_ms(vm, now_ms);
        let made_ms = now_ms.max(self.vms[reader].paused_until_ms) + 2;
        let state = &self.vms[reader];
        let age_ms = state.sync_state.age_ms(self.clock_ms(reader, made_ms));
        let (Some(age_ms), Some(offset)) = (age_ms, state.sync_state.offset()) else {
            return;
        };
        if self.random.random_ratio(1, 20) {
            return;
        }
        let late_ms = match self.random.random_ratio(1, 10) {
            true => self.random.random_range(0..3_000),
            false => 2,
        };
        let view = Event::View(vm, offset, made_ms, age_ms, sent_ms);
        self.add(made_ms + late_ms, view);
    }

    fn hear(&mut self, vm: usize, now_ms: u64, offset: u64, as_of_ms: u64, is_own: bool) {
        let state = &mut self.vms[vm];
        if is_own {
            state.sync_state.record_success();
        }
        let is_taken = state.sync_state.accepts(offset);
        if is_taken || self.without == Without::Order {
            if offset < state.applied {
                self.violation = Some(format!("vm {vm} went back at {now_ms} ms"));
            }
            state.applied = offset;
            state.sync_state.confirm(offset, as_of_ms);
        }
        self.check(vm, now_ms);
    }

    /// Checks the belief of a VM against the log.
    fn check(&mut self, vm: usize, now_ms: u64) {
        let state = &self.vms[vm];
        let clock_ms = self.clock_ms(vm, now_ms);
        let Some(age_ms) = state.sync_state.age_ms(clock_ms) else {
            return;
        };
        // Records that existed when the belief is said to hold must be in it.
        let as_of_ms = now_ms - age_ms.min(now_ms);
        let existed = self.log.partition_point(|at_ms| *at_ms < as_of_ms) as u64;
        if state.applied < existed {
            let applied = state.applied;
            self.violation = Some(format!(
                "vm {vm} vouches at {now_ms} ms for {as_of_ms} ms with {applied} of {existed} records"
            ));
        }
        if now_ms < state.calm_since_ms + CONTACT_MS || now_ms < CONTACT_MS {
            return;
        }
        // The first record that the VM lacks must not be older than the bound.
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

/// No VM that reaches the log service may miss the bound or go back, whatever happens to the others.
#[test]
fn random_faults() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(30, seed, Without::Nothing);
        fleet.add_faults(60);
        fleet.run();
        assert_eq!(fleet.violation, None, "seed {seed}");
    }
}

/// The checks must notice each mechanism that is missing.
#[test]
fn missing_mechanisms() {
    let mechanisms = [
        Without::OwnReads,
        Without::Ages,
        Without::Order,
        Without::SuspendedTime,
    ];
    for without in mechanisms {
        let is_noticed = (0..60).any(|seed| {
            let mut fleet = Fleet::new(30, seed, without);
            fleet.add_faults(60);
            fleet.run();
            fleet.violation.is_some()
        });
        assert!(is_noticed, "{without:?}");
    }
}

/// Without faults the calls to the log service must follow the readers, not the VMs.
#[test]
fn calls_by_readers() {
    for count in [5, 34, 118, 412] {
        let mut fleet = Fleet::new(count, 1, Without::Nothing);
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
        // Without faults readers vouch in time, so that followers need no reads of their own.
        assert!(
            age_ms < fleet.timing.stale_after_ms(),
            "99th percentile {age_ms} ms"
        );
    }
}
