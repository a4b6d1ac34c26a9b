//! Simulation of many VMs before a log service that continues from older copies of its data, in virtual time: each
//! configuration that the log service holds is in force at each VM within the bound, and none goes back.

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

/// Duration of a simulation, in milliseconds; nothing fails in the last part.
const RUN_MS: u64 = 30_000;
const CALM_AFTER_MS: u64 = 20_000;

/// Time after a fault, and after the return of the log service, in which a VM may exceed the bound, in milliseconds.
const RECOVERY_MS: u64 = 3_000;

/// Reads a second that the log service takes.
const READS_PER_S_MAX: u64 = 2_000;

/// Mechanism that is disabled, to verify that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// Offsets are compared across timelines.
    Timelines,
    /// Answers of an earlier timeline that arrive late are taken.
    LateAnswers,
    /// Configurations are not ordered by their versions.
    Versions,
}

/// An answer of the log service.
#[derive(Clone, Copy, Debug)]
struct Answer {
    timeline: u64,
    /// End of the topic and newest version that it brings; `None` for an offset that the log service does not have.
    content: Option<(u64, u64)>,
    /// Offset that the read began from; `None` for a list.
    from: Option<u64>,
    /// Position of the VM's copy when it sent the read.
    last: Option<Position>,
    /// Timeline that the VM knew when it sent the read.
    known: u64,
    began_ms: u64,
}

/// A reader's answer to a follower.
#[derive(Clone, Copy, Debug)]
struct View {
    position: Position,
    version: u64,
    built_ms: u64,
    age_ms: u64,
    sent_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The operator writes a new configuration.
    Change,
    /// The operator writes the newest configuration again if the log service lost it.
    WriteAgain,
    /// The log service is away for a time and continues from a copy of the given age.
    Restore {
        for_ms: u64,
        age_ms: u64,
    },
    /// The log service is back.
    Return {
        age_ms: u64,
    },
    Wake(usize),
    Read(usize, Answer),
    ReadFailed(usize),
    View(usize, View),
    Pause(usize, u64),
    /// The log service turns a VM away for a time.
    TurnAway(usize, u64),
    Restart(usize),
}

#[derive(Clone, Default)]
struct Vm {
    sync_state: SyncState,
    version: u64,
    paused_until_ms: u64,
    turned_away_until_ms: u64,
    is_reading: bool,
    /// Random delay of the next read.
    draw: u64,
    healthy_since_ms: u64,
}

struct Fleet {
    disabled: Disabled,
    timing: Timing,
    members: Vec<Member>,
    vms: Vec<Vm>,
    timeline: u64,
    /// Version and time of each record.
    log: Vec<(u64, u64)>,
    is_away: bool,
    stable_since_ms: u64,
    /// Newest version that the operator wrote.
    newest: u64,
    events: BTreeMap<(u64, u64), Event>,
    random: ChaCha8Rng,
    /// Times of reads and of lists.
    reads_ms: Vec<u64>,
    lists_ms: Vec<u64>,
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
            timeline: 1,
            log: vec![(1, 0)],
            is_away: false,
            stable_since_ms: 0,
            newest: 1,
            events: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            reads_ms: Vec::new(),
            lists_ms: Vec::new(),
            violation: None,
        };
        for vm in 0..count {
            fleet.add(vm as u64 % 300, Event::Wake(vm));
        }
        fleet.add(500, Event::Change);
        fleet
    }

    fn add(&mut self, at_ms: u64, event: Event) {
        let number = self.random.random();
        self.events.insert((at_ms, number), event);
    }

    fn add_faults(&mut self, restorings: usize, others: usize) {
        for _ in 0..restorings {
            let at_ms = self.random.random_range(2_000..CALM_AFTER_MS - 3_000);
            let event = Event::Restore {
                for_ms: self.random.random_range(0..2_500),
                age_ms: self.random.random_range(0..9_000),
            };
            self.add(at_ms, event);
        }
        for _ in 0..others {
            let vm = self.random.random_range(0..self.vms.len());
            let for_ms = self.random.random_range(200..6_000);
            let at_ms = self.random.random_range(0..CALM_AFTER_MS - for_ms);
            let event = match self.random.random_range(0..3) {
                0 => Event::Pause(vm, for_ms),
                1 => Event::TurnAway(vm, for_ms),
                _ => Event::Restart(vm),
            };
            self.add(at_ms, event);
        }
    }

    fn run(&mut self) {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            if now_ms > RUN_MS || self.violation.is_some() {
                break;
            }
            self.apply(now_ms, event);
        }
        for (index, vm) in self.vms.iter().enumerate() {
            if vm.version < self.newest && self.violation.is_none() {
                let (version, newest) = (vm.version, self.newest);
                self.violation = Some(format!(
                    "vm {index} ends with {version}, the newest is {newest}"
                ));
            }
        }
    }

    fn apply(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Change => {
                if !self.is_away && now_ms < RUN_MS - 5_000 {
                    self.newest += self.random.random_range(1..4);
                    self.log.push((self.newest, now_ms));
                }
                let pause_ms = self.random.random_range(30..2_500);
                self.add(now_ms + pause_ms, Event::Change);
            }
            Event::WriteAgain => {
                let held = self.log.last().map_or(0, |(version, _)| *version);
                if held < self.newest && !self.is_away {
                    self.log.push((self.newest, now_ms));
                }
            }
            Event::Restore { for_ms, age_ms } => {
                if self.is_away {
                    return;
                }
                self.is_away = true;
                let event = Event::Return { age_ms };
                self.add(now_ms + for_ms, event);
            }
            Event::Return { age_ms } => {
                let copied_ms = now_ms.saturating_sub(age_ms);
                self.log
                    .retain(|(_, written_ms)| *written_ms == 0 || *written_ms < copied_ms);
                self.timeline += 1;
                self.is_away = false;
                self.stable_since_ms = now_ms;
                let pause_ms = self.random.random_range(0..800);
                self.add(now_ms + pause_ms, Event::WriteAgain);
            }
            Event::Pause(vm, for_ms) => {
                let vm = &mut self.vms[vm];
                vm.paused_until_ms = vm.paused_until_ms.max(now_ms + for_ms);
                vm.healthy_since_ms = vm.healthy_since_ms.max(vm.paused_until_ms);
            }
            Event::TurnAway(vm, for_ms) => {
                let vm = &mut self.vms[vm];
                vm.turned_away_until_ms = vm.turned_away_until_ms.max(now_ms + for_ms);
                vm.healthy_since_ms = vm.healthy_since_ms.max(vm.turned_away_until_ms);
            }
            Event::Restart(vm) => {
                let old = std::mem::take(&mut self.vms[vm]);
                self.vms[vm].turned_away_until_ms = old.turned_away_until_ms;
                self.vms[vm].is_reading = old.is_reading;
                self.vms[vm].healthy_since_ms = old.healthy_since_ms.max(now_ms);
            }
            Event::Wake(vm) => self.wake(vm, now_ms),
            Event::Read(vm, answer) => {
                if !self.postpone(vm, now_ms, event) {
                    self.vms[vm].is_reading = false;
                    self.take_answer(vm, now_ms, answer);
                }
            }
            Event::ReadFailed(vm) => {
                if !self.postpone(vm, now_ms, event) {
                    self.vms[vm].is_reading = false;
                    self.vms[vm].sync_state.record_failure();
                }
            }
            Event::View(vm, view) => {
                if !self.postpone(vm, now_ms, event) {
                    self.take_view(vm, now_ms, view);
                }
            }
        }
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
        let members = self.members.clone();
        let chosen = readers::choose(&members);
        let own = &members[vm];
        let role = match chosen.iter().any(|member| member.vm == own.vm) {
            true => Role::Reader,
            false => Role::Follower,
        };
        let draw = self.random.random();
        let state = &mut self.vms[vm];
        let due_ms = state.sync_state.next_read_ms(self.timing, role, state.draw);
        if !state.is_reading && now_ms >= due_ms {
            state.draw = draw;
            let from = state.sync_state.begin_read(now_ms);
            let known = state.sync_state.timeline();
            self.vms[vm].is_reading = true;
            self.read(vm, now_ms, from, known);
        }
        if role == Role::Follower {
            let readers = readers::order_for(chosen, &own.vm, &own.data_centre);
            if !readers.is_empty() {
                let index = self.random.random_range(0..readers.len());
                let reader = &readers[index].vm;
                let reader = members.iter().position(|m| m.vm == *reader).unwrap();
                self.request_view(vm, reader, now_ms);
            }
        }
        let pause_ms = self.random.random_range(100..300);
        self.add(now_ms + pause_ms, Event::Wake(vm));
    }

    /// Lets the log service answer a read; the answer may arrive late, after the log service was restored.
    fn read(&mut self, vm: usize, now_ms: u64, from: Option<u64>, known: u64) {
        self.reads_ms.push(now_ms);
        if from.is_none() {
            self.lists_ms.push(now_ms);
        }
        if self.is_away || now_ms < self.vms[vm].turned_away_until_ms {
            self.add(now_ms + 5, Event::ReadFailed(vm));
            return;
        }
        let end = self.log.len() as u64;
        let first = from.unwrap_or(0);
        let records = self.log.get(first as usize..).unwrap_or_default();
        let version = records.iter().map(|(version, _)| *version).max();
        let answer = Answer {
            timeline: self.timeline,
            content: (first <= end).then_some((end, version.unwrap_or(0))),
            from,
            last: self.vms[vm].sync_state.last_position(),
            known,
            began_ms: now_ms,
        };
        let late_ms = match self.random.random_ratio(1, 20) {
            true => self.random.random_range(0..900),
            false => self.random.random_range(4..60),
        };
        self.add(now_ms + late_ms, Event::Read(vm, answer));
    }

    fn take_answer(&mut self, vm: usize, now_ms: u64, answer: Answer) {
        let disabled = self.disabled;
        let state = &mut self.vms[vm].sync_state;
        let timeline = match disabled {
            Disabled::Timelines => 0,
            _ => answer.timeline,
        };
        state.record_timeline(timeline, now_ms);
        if timeline < state.timeline() {
            state.record_failure();
            if disabled != Disabled::LateAnswers {
                return;
            }
        }
        state.record_success();
        let Some((end, version)) = answer.content else {
            state.record_dropped(answer.last);
            return;
        };
        if answer.from.is_some() && timeline != answer.known && disabled != Disabled::LateAnswers {
            return;
        }
        let position = Position {
            timeline: match disabled {
                Disabled::LateAnswers => state.timeline(),
                _ => timeline,
            },
            offset: end,
        };
        if state.accepts(position) {
            state.confirm(position, answer.began_ms);
            self.take_version(vm, now_ms, version);
        }
        self.check(vm, now_ms);
    }

    /// Sends a request to a reader; the answer may be late or lost, and the reader may be paused.
    fn request_view(&mut self, vm: usize, reader: usize, now_ms: u64) {
        let built_ms = now_ms.max(self.vms[reader].paused_until_ms) + 2;
        let known = self.vms[vm].sync_state.timeline();
        let state = &mut self.vms[reader];
        state.sync_state.record_timeline(known, built_ms);
        let age_ms = state.sync_state.age_ms(built_ms);
        let (Some(age_ms), Some(position)) = (age_ms, state.sync_state.position()) else {
            return;
        };
        let view = View {
            position,
            version: state.version,
            built_ms,
            age_ms,
            sent_ms: now_ms,
        };
        if self.random.random_ratio(1, 20) {
            return;
        }
        let late_ms = match self.random.random_ratio(1, 10) {
            true => self.random.random_range(0..3_000),
            false => 2,
        };
        self.add(built_ms + late_ms, Event::View(vm, view));
    }

    fn take_view(&mut self, vm: usize, now_ms: u64, view: View) {
        let state = &mut self.vms[vm].sync_state;
        state.record_timeline(view.position.timeline, now_ms);
        let is_accepted = state.accepts(view.position);
        if is_accepted {
            let waited_ms = view.built_ms - view.sent_ms;
            let as_of_ms = as_of_ms(view.sent_ms, waited_ms, view.age_ms);
            state.confirm(view.position, as_of_ms);
        }
        self.take_version(vm, now_ms, view.version);
        self.check(vm, now_ms);
    }

    fn take_version(&mut self, vm: usize, now_ms: u64, version: u64) {
        let current = self.vms[vm].version;
        if version >= current {
            self.vms[vm].version = version;
        } else if self.disabled == Disabled::Versions && version > 0 {
            self.violation = Some(format!("vm {vm} went back to {version} at {now_ms} ms"));
        }
    }

    /// Checks that a VM has the configurations that the log service holds for longer than the bound.
    fn check(&mut self, vm: usize, now_ms: u64) {
        let state = &self.vms[vm];
        let since_ms = state.healthy_since_ms.max(self.stable_since_ms);
        if self.is_away || now_ms < since_ms + RECOVERY_MS || now_ms < RECOVERY_MS {
            return;
        }
        let mut required = 0;
        for (version, written_ms) in &self.log {
            if written_ms + BOUND_MS < now_ms {
                required = required.max(*version);
            }
        }
        if state.version < required {
            let version = state.version;
            self.violation = Some(format!(
                "vm {vm} has {version} instead of {required} at {now_ms} ms"
            ));
        }
    }
}

/// No VM may lack a configuration for longer than the bound, or for good, whatever is lost and whoever fails meanwhile.
#[test]
fn random_restorings() {
    for (count, seeds) in [(1, 60), (2, 60), (5, 60), (30, 60), (118, 6), (412, 2)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(count, seed, Disabled::Nothing);
            fleet.add_faults(1 + seed as usize % 4, 2 * count);
            fleet.run();
            assert_eq!(fleet.violation, None, "{count} VMs, seed {seed}");
        }
    }
}

/// The checks must detect each disabled mechanism.
#[test]
fn missing_mechanisms() {
    for disabled in [
        Disabled::Timelines,
        Disabled::LateAnswers,
        Disabled::Versions,
    ] {
        let is_detected = (0..60).any(|seed| {
            let mut fleet = Fleet::new(5, seed, disabled);
            fleet.add_faults(3, 10);
            fleet.run();
            fleet.violation.is_some()
        });
        assert!(is_detected, "{disabled:?}");
    }
}

/// After a restoring the readers must list for the fleet, and all VMs together must stay within the rate of the log
/// service.
#[test]
fn lists_by_readers() {
    for count in [5, 34, 118, 412] {
        let mut fleet = Fleet::new(count, 1, Disabled::Nothing);
        let event = Event::Restore {
            for_ms: 2_000,
            age_ms: 5_000,
        };
        fleet.add(10_000, event);
        let returned_ms = 12_000;
        fleet.run();
        assert_eq!(fleet.violation, None, "{count} VMs");
        let lists = fleet.lists_ms.iter().filter(|at| **at >= returned_ms);
        let lists = lists.count();
        let mut most = 0;
        for at_ms in fleet.reads_ms.iter().filter(|at| **at >= returned_ms) {
            let second = *at_ms..*at_ms + 1_000;
            let reads = fleet.reads_ms.iter().filter(|at| second.contains(at));
            most = most.max(reads.count() as u64);
        }
        println!(
            "{count} VMs: {lists} lists after the restoring, {most} reads in the busiest second"
        );
        // Two topics are read like this one.
        assert!(2 * most <= READS_PER_S_MAX, "{most} reads a second");
        assert!(
            lists <= 3 * readers::reader_count(count) + count / 10,
            "{lists} lists, {count} VMs"
        );
    }
}
