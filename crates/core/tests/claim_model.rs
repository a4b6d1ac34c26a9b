//! Exhaustive check of the claim protocol: every order of every step, with up to two failures.
//!
//! The world drives the shipped `ClaimOwner` and `ClaimantState`. A process may pause before any step, since no step is ever
//! forced to happen. Each test without a fault expects no violation; each test that switches a mechanism off at the border
//! between the world and the decision code expects one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

use pathfinding::directed::bfs::bfs;
use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::coordination::claim_owner::ClaimDecision;
use waxwing_core::coordination::claim_owner::ClaimOwner;
use waxwing_core::coordination::claim_owner::ClaimantState;
use waxwing_core::coordination::claim_owner::Effect;
use waxwing_core::coordination::claim_owner::EndNotice;
use waxwing_core::coordination::claim_owner::Input;
use waxwing_core::coordination::claim_owner::Limits;
use waxwing_core::coordination::claim_owner::Now;
use waxwing_core::coordination::claim_owner::Request;
use waxwing_core::state::claims::Answer;
use waxwing_core::state::claims::ClaimId;
use waxwing_core::state::claims::ClaimKey;
use waxwing_core::state::claims::Outcome;
use waxwing_core::state::claims::Owner;
use waxwing_core::state::claims::Record;

/// Length of a step of the world's clock, also the outage time and the wait of a request.
const STEP_MS: u64 = 10;

/// `Own` records in the log; two processes that take each other for gone would alternate without end.
const OWNS_MAX: usize = 3;

/// Most callers of a scenario.
const CALLERS_MAX: usize = 3;

/// Mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// Endpoints are not told the new fence before the successor serves.
    FenceRaise,
    /// The successor writes a cutoff of 0.
    Cutoff,
    /// The cutoff covers the skew of the owner's clock, but not that of the key.
    KeySkew,
    /// An append counts as read back when it is started.
    ReadBack,
    /// Replay does not see that another process has become the owner.
    ReplayFence,
    /// Endpoints do not check the fence although claims are granted from memory.
    EndpointCheck,
    /// An outcome counts for whichever claim the key has.
    OutcomeFence,
}

/// World in which the exploration begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// No process has read anything, and the range has no owner.
    Cold,
    /// The first process is the owner.
    Settled,
    /// The first process is the owner, has been cut from the log and grants claims from memory.
    CutOff,
    /// The first process is cut from the log and the second has taken over.
    TakenOver,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    broken: Broken,
    uses_memory: bool,
    failures: u8,
    callers: usize,
    /// Creation time of the key.
    created_ms: u64,
    /// Steps that the clock may make.
    steps: u8,
    /// Whether a process that took the other for gone may see it again.
    has_return: bool,
    /// Whether a request may tell its end to the process that it did not ask.
    has_rerouting: bool,
    /// How far the first owner's wall clock is ahead.
    ahead_ms: u64,
    /// Bound of the clock skew that the owners are told.
    skew_ms: u64,
    has_stop: bool,
    /// Whether a killed process is replaced by a new one of the same name.
    has_restart: bool,
    start: Start,
}

const PLAIN: Scenario = Scenario {
    broken: Broken::Nothing,
    uses_memory: false,
    failures: 2,
    callers: 2,
    created_ms: 0,
    steps: 1,
    has_return: false,
    has_rerouting: false,
    ahead_ms: 0,
    skew_ms: 0,
    has_stop: false,
    has_restart: false,
    start: Start::Settled,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Process {
    owner: Interned,
    incarnation: u8,
    is_cut: bool,
    has_stopped: bool,
    is_dead: bool,
    sees_other: bool,
    has_noticed: bool,
    append: Option<Interned>,
    raise: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Caller {
    state: ClaimantState,
    asked: Option<u8>,
    grant: Option<ClaimId>,
    call: Option<ClaimId>,
    farewell: Option<Interned>,
    has_run: bool,
    was_told_not_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    failures_left: u8,
    log: Interned,
    late: Option<Interned>,
    processes: [Process; 2],
    callers: [Caller; CALLERS_MAX],
    endpoint_fence: u64,
    runs: u8,
    last_run: u8,
    violation: Option<&'static str>,
}

/// A world in little memory, since the check holds millions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Packed {
    step: u8,
    failures_left: u8,
    runs: u8,
    last_run: u8,
    log: Interned,
    late: Option<Interned>,
    processes: [Interned; 2],
    callers: [Interned; CALLERS_MAX],
    endpoint_fence: u32,
    violation: Option<&'static str>,
}

/// What the exploration has reached, so that a check that explores nothing is noticed.
#[derive(Debug, Default)]
struct Reached {
    states: Cell<usize>,
    memory_runs: Cell<usize>,
    repeats: Cell<usize>,
    rejections: Cell<usize>,
}

/// Number of a value that many worlds share.
type Interned = u32;

/// Values by number, so that a world stays small and quick to compare.
struct Interner<T> {
    values: RefCell<Vec<Rc<T>>>,
    numbers: RefCell<HashMap<Rc<T>, Interned>>,
}

impl<T: Eq + Hash> Interner<T> {
    fn new() -> Self {
        Self {
            values: RefCell::default(),
            numbers: RefCell::default(),
        }
    }

    fn add(&self, value: T) -> Interned {
        let mut values = self.values.borrow_mut();
        let value = Rc::new(value);
        *self
            .numbers
            .borrow_mut()
            .entry(Rc::clone(&value))
            .or_insert_with(|| {
                values.push(value);
                values.len() as Interned - 1
            })
    }

    fn get(&self, number: Interned) -> Rc<T> {
        Rc::clone(&self.values.borrow()[number as usize])
    }
}

type Step = (Interned, Now, Input);
type AfterStep = (Interned, Rc<Vec<Effect>>);

struct Model {
    scenario: Scenario,
    reached: Reached,
    owners: Interner<ClaimOwner>,
    records: Interner<Vec<Record>>,
    farewells: Interner<EndNotice>,
    processes: Interner<Process>,
    callers: Interner<Caller>,
    steps: RefCell<HashMap<Step, AfterStep>>,
    successors: RefCell<Vec<(Label, World)>>,
}

/// What happens, and to which process or caller.
type Label = (&'static str, usize);

fn vm(process: usize) -> Name {
    Name::from(["a", "b"][process])
}

fn identity(process: usize, incarnation: u8) -> Owner {
    Owner {
        vm: vm(process),
        incarnation: incarnation.into(),
    }
}

fn limits(scenario: &Scenario) -> Limits {
    Limits {
        key_lifetime_ms: 1_000_000,
        clock_skew_max_ms: scenario.skew_ms,
        group_commit_ms: 0,
        append_retry_ms: 0,
        outage_after_ms: STEP_MS,
        renew_ms: 1_000_000,
        reacquire_delay_ms: 0,
        uses_memory: scenario.uses_memory,
    }
}

impl Model {
    fn new(scenario: Scenario) -> Self {
        Self {
            scenario,
            reached: Reached::default(),
            owners: Interner::new(),
            records: Interner::new(),
            farewells: Interner::new(),
            processes: Interner::new(),
            callers: Interner::new(),
            steps: RefCell::default(),
            successors: RefCell::default(),
        }
    }

    fn pack(&self, world: &World) -> Packed {
        Packed {
            step: world.step,
            failures_left: world.failures_left,
            runs: world.runs,
            last_run: world.last_run,
            log: world.log,
            late: world.late,
            processes: world.processes.map(|process| self.processes.add(process)),
            callers: world.callers.map(|caller| self.callers.add(caller)),
            endpoint_fence: world.endpoint_fence as u32,
            violation: world.violation,
        }
    }

    fn unpack(&self, packed: &Packed) -> World {
        World {
            step: packed.step,
            failures_left: packed.failures_left,
            log: packed.log,
            late: packed.late,
            processes: packed.processes.map(|process| *self.processes.get(process)),
            callers: packed.callers.map(|caller| *self.callers.get(caller)),
            endpoint_fence: packed.endpoint_fence.into(),
            runs: packed.runs,
            last_run: packed.last_run,
            violation: packed.violation,
        }
    }

    fn key(&self) -> ClaimKey {
        let key = Uuid::from_u128(u128::from(self.scenario.created_ms) << 80 | 7 << 76 | 2 << 62);
        ClaimKey {
            organisation: Name::from("o"),
            key,
        }
    }

    fn now(&self, world: &World, process: usize) -> Now {
        let monotonic_ms = u64::from(world.step) * STEP_MS;
        let ahead_ms = if process == 0 {
            self.scenario.ahead_ms
        } else {
            0
        };
        Now {
            monotonic_ms,
            wall_ms: monotonic_ms + ahead_ms,
        }
    }

    fn owner(&self, world: &World, process: usize) -> Rc<ClaimOwner> {
        self.owners.get(world.processes[process].owner)
    }

    fn start(&self) -> World {
        let now = Now {
            monotonic_ms: 0,
            wall_ms: 0,
        };
        let process = |index: usize| Process {
            owner: self.owners.add(ClaimOwner::new(
                identity(index, 0),
                limits(&self.scenario),
                now,
            )),
            incarnation: 0,
            is_cut: false,
            has_stopped: false,
            is_dead: false,
            sees_other: true,
            has_noticed: false,
            append: None,
            raise: None,
        };
        let caller = Caller {
            state: ClaimantState::Waiting,
            asked: None,
            grant: None,
            call: None,
            farewell: None,
            has_run: false,
            was_told_not_run: false,
        };
        let mut world = World {
            step: 0,
            failures_left: self.scenario.failures,
            log: self.records.add(Vec::new()),
            late: None,
            processes: [process(0), process(1)],
            callers: [caller; CALLERS_MAX],
            endpoint_fence: 0,
            runs: 0,
            last_run: 0,
            violation: None,
        };
        for index in 0..2 {
            self.members(&mut world, index, true);
            // The first tick only sets the time of the next removal of old keys.
            self.step(&mut world, index, Input::Tick);
        }
        if self.scenario.start != Start::Cold {
            self.settle(&mut world, 0);
        }
        if self.scenario.start == Start::CutOff {
            world.processes[0].is_cut = true;
            world.step = 1;
        }
        if self.scenario.start == Start::TakenOver {
            world.processes[0].is_cut = true;
            self.members(&mut world, 1, false);
            self.settle(&mut world, 1);
        }
        world
    }

    /// Lets a process become the owner undisturbed.
    fn settle(&self, world: &mut World, index: usize) {
        while !(self.owner(world, index).is_owner() && self.owner(world, index).table().is_active())
        {
            if let Some(records) = world.processes[index].append.take() {
                self.land(world, records);
                let is_confirmed = true;
                self.step(world, index, Input::AppendEnded { is_confirmed });
            }
            self.raise(world, index);
            self.read(world, index);
        }
    }

    fn land(&self, world: &mut World, records: Interned) {
        let mut log = self.records.get(world.log).to_vec();
        log.extend_from_slice(&self.records.get(records));
        world.log = self.records.add(log);
    }

    fn step(&self, world: &mut World, index: usize, input: Input) {
        let step = (world.processes[index].owner, self.now(world, index), input);
        let known = self.steps.borrow().get(&step).cloned();
        let (owner, effects) = known.unwrap_or_else(|| {
            let mut owner = (*self.owners.get(step.0)).clone();
            let effects = Rc::new(owner.step(step.1, step.2.clone()));
            let after = (self.owners.add(owner), effects);
            self.steps.borrow_mut().insert(step, after.clone());
            after
        });
        world.processes[index].owner = owner;
        for effect in effects.iter() {
            match effect {
                Effect::Append(records) => self.start_append(world, index, records.clone()),
                Effect::RaiseFence(fence) if self.scenario.uses_memory => {
                    world.processes[index].raise = Some(*fence);
                }
                // Endpoints that do not check the fence are not told.
                Effect::RaiseFence(_) => {}
                Effect::Reply { claimant, decision } => {
                    self.check_reply(world, index, decision);
                    world.callers[*claimant as usize].hear(decision);
                }
            }
        }
    }

    fn start_append(&self, world: &mut World, index: usize, mut records: Vec<Record>) {
        for record in &mut records {
            if let Record::Active { cutoff_ms, .. } = record {
                match self.scenario.broken {
                    Broken::Cutoff => *cutoff_ms = 0,
                    Broken::KeySkew => *cutoff_ms = cutoff_ms.saturating_sub(self.scenario.skew_ms),
                    _ => {}
                }
            }
        }
        world.processes[index].append = Some(self.records.add(records.clone()));
        if self.scenario.broken == Broken::ReadBack {
            let first = self.owner(world, index).next_offset();
            let records = (first..).zip(records.into_iter().map(Some)).collect();
            let is_end = true;
            self.step(world, index, Input::Read { records, is_end });
        }
    }

    /// Checks an answer against everything that the log and the endpoint know at this moment.
    fn check_reply(&self, world: &mut World, index: usize, decision: &ClaimDecision) {
        let owner = self.owner(world, index);
        let is_up_to_date = owner.next_offset() == self.records.get(world.log).len() as u64;
        let entry = owner.table().get(&self.key());
        match decision {
            ClaimDecision::Granted(_) => {}
            ClaimDecision::Done(answer) => {
                self.reached.repeats.set(self.reached.repeats.get() + 1);
                if world.runs != 1 || u16::from(world.last_run) != answer.status {
                    world.violation =
                        Some("a repeat received an answer that is not that of the run");
                }
            }
            ClaimDecision::Refused(refusal) => {
                if entry.is_some_and(|e| matches!(e.outcome, Some(Outcome::Done(_)))) {
                    world.violation = Some("a repeat was refused although its answer is recorded");
                }
                let is_certain = owner.is_owner() && owner.table().is_active() && is_up_to_date;

                let is_settled = entry.is_some_and(|e| !e.is_free() && e.outcome.is_some());
                let is_known = is_certain || is_settled;
                let has_run = world.runs > 0;
                if refusal.run == ExecutionStatus::NotRun && has_run && is_known {
                    world.violation = Some("the owner said not_run for a key that has run");
                }
            }
        }
    }

    fn read(&self, world: &mut World, index: usize) {
        let from = self.owner(world, index).next_offset();
        let mut records = Vec::new();
        for (offset, record) in (0..).zip(self.records.get(world.log).iter()) {
            if offset < from {
                continue;
            }
            let is_hidden = self.scenario.broken == Broken::ReplayFence
                && index == 0
                && matches!(record, Record::Own { owner, .. } if owner.vm != vm(index));
            records.push((offset, (!is_hidden).then(|| record.clone())));
        }
        let is_end = true;
        self.step(world, index, Input::Read { records, is_end });
    }

    fn raise(&self, world: &mut World, index: usize) {
        let Some(fence) = world.processes[index].raise.take() else {
            return;
        };
        if self.scenario.broken != Broken::FenceRaise {
            // An endpoint that knows a newer fence rejects the order.
            if fence < world.endpoint_fence {
                return;
            }
            world.endpoint_fence = fence;
        }
        self.step(world, index, Input::FenceRaised(fence));
    }

    fn members(&self, world: &mut World, index: usize, sees_other: bool) {
        world.processes[index].sees_other = sees_other;
        let mut live = BTreeSet::from([vm(index)]);
        let mut preferred = vm(index);
        if sees_other {
            live.insert(vm(1 - index));
            // A process that stops is no longer a candidate.
            preferred = vm(usize::from(world.processes[0].has_stopped));
        }
        self.step(world, index, Input::Members { preferred, live });
    }

    /// Adds the world that `change` leads to, unless it changes nothing.
    fn add(&self, world: &World, label: Label, cost: u8, change: impl FnOnce(&mut World)) {
        let Some(failures_left) = world.failures_left.checked_sub(cost) else {
            return;
        };
        let mut next = *world;
        change(&mut next);
        for caller in &next.callers {
            if caller.was_told_not_run && (caller.has_run || caller.call.is_some()) {
                next.violation = Some("a caller was told not_run although its call ran or may run");
            }
        }
        if next.runs > 1 {
            next.violation = Some("the key ran twice");
        }
        if next != *world {
            next.failures_left = failures_left;
            self.successors.borrow_mut().push((label, next));
        }
    }

    fn successors(&self, world: &World) -> Vec<(Label, World)> {
        let is_over = |caller: &Caller| {
            caller.state == ClaimantState::Ended && caller.call.is_none() && caller.asked.is_some()
        };
        if world.violation.is_some() || world.callers[..self.scenario.callers].iter().all(is_over) {
            return Vec::new();
        }
        if world.step < self.scenario.steps {
            self.add(world, ("the clock advances", 0), 0, |w| w.step += 1);
        }
        if let Some(records) = world.late {
            self.add(world, ("a delayed append takes effect", 0), 0, |w| {
                w.late = None;
                self.land(w, records);
            });
        }
        if world.processes.iter().all(|process| !process.is_cut) {
            self.add(world, ("the log goes down", 0), 1, |w| {
                w.processes[0].is_cut = true;
                w.processes[1].is_cut = true;
            });
        }
        for index in 0..2 {
            self.process_steps(world, index);
        }
        for index in 0..self.scenario.callers {
            self.caller_steps(world, index);
        }
        self.successors.take()
    }

    fn process_steps(&self, world: &World, index: usize) {
        let process = &world.processes[index];
        if process.is_dead {
            return;
        }
        self.add(world, ("owner ticks", index), 0, |w| {
            self.step(w, index, Input::Tick)
        });
        if process.is_cut {
            self.add(world, ("owner reaches the log again", index), 0, |w| {
                w.processes[index].is_cut = false;
            });
        } else {
            // While nobody can notice, an early read has the same effect as a later one that reads more.
            let is_asked = world
                .callers
                .iter()
                .any(|caller| caller.asked == Some(index as u8));
            let is_passive = index == 1 && process.sees_other && !self.scenario.has_stop;
            if !is_passive || is_asked || process.has_noticed || self.scenario.has_return {
                self.add(world, ("owner reads", index), 0, |w| self.read(w, index));
            }
            self.add(world, ("owner is cut from the log", index), 1, |w| {
                w.processes[index].is_cut = true;
            });
        }
        if let Some(records) = process.append {
            self.append_steps(world, index, records);
        }
        if process.raise.is_some() {
            self.add(world, ("owner raises the fence", index), 0, |w| {
                self.raise(w, index)
            });
        }
        // The absence of a killed process is noticed once; any further time is a failure of its own.
        let other = &world.processes[1 - index];
        let is_absent = other.is_dead || other.incarnation > 0;
        let cost = u8::from(!is_absent || process.has_noticed);
        if process.sees_other {
            self.add(
                world,
                ("owner takes the other for gone", index),
                cost,
                |w| {
                    w.processes[index].has_noticed |= is_absent;
                    self.members(w, index, false);
                },
            );
        }
        if self.scenario.has_return || self.scenario.has_stop {
            self.add(world, ("owner sees both", index), 0, |w| {
                self.members(w, index, true);
            });
        }
        if process.incarnation == 0 {
            self.add(world, ("owner is killed", index), 1, |w| {
                self.kill(w, index)
            });
        }
        if self.scenario.has_stop && index == 0 && !process.has_stopped {
            self.add(world, ("owner stops", index), 0, |w| {
                w.processes[index].has_stopped = true;
                self.step(w, index, Input::Stop);
            });
        }
    }

    fn append_steps(&self, world: &World, index: usize, records: Interned) {
        let end = |w: &mut World, is_confirmed| {
            w.processes[index].append = None;
            self.step(w, index, Input::AppendEnded { is_confirmed });
        };
        let is_own = |record: &Record| matches!(record, Record::Own { .. });
        let owns = self
            .records
            .get(world.log)
            .iter()
            .filter(|r| is_own(r))
            .count();
        if owns >= OWNS_MAX && self.records.get(records).iter().any(is_own) {
            return;
        }
        if world.processes[index].is_cut {
            return self.add(world, ("owner's append fails", index), 0, |w| end(w, false));
        }
        self.add(world, ("owner appends", index), 0, |w| {
            self.land(w, records);
            end(w, true);
        });
        self.add(
            world,
            ("owner appends, the answer is lost", index),
            1,
            |w| {
                self.land(w, records);
                end(w, false);
            },
        );
        self.add(world, ("owner appends, applied twice", index), 1, |w| {
            self.land(w, records);
            self.land(w, records);
            end(w, true);
        });
        if world.late.is_none() {
            self.add(world, ("owner's append is delayed", index), 1, |w| {
                w.late = Some(records);
                end(w, false);
            });
        }
    }

    fn kill(&self, world: &mut World, index: usize) {
        let now = self.now(world, index);
        let process = &mut world.processes[index];
        process.is_dead = !self.scenario.has_restart;
        process.incarnation += 1;
        let identity = identity(index, process.incarnation);
        let owner = ClaimOwner::new(identity, limits(&self.scenario), now);
        process.owner = self.owners.add(owner);
        process.raise = None;
        // What the killed process was about to append may still arrive.
        if let Some(records) = process.append.take() {
            world.late = Some(records);
        }
        self.members(world, index, true);
        self.step(world, index, Input::Tick);
    }

    fn caller_steps(&self, world: &World, index: usize) {
        let caller = &world.callers[index];
        if caller.asked.is_none() {
            // Requests are alike, so that a later one starts after an earlier one.
            if index > 0 && world.callers[index - 1].asked.is_none() {
                return;
            }
            for process in 0..2 {
                if !world.processes[process].is_dead {
                    let label = ["caller asks a", "caller asks b"][process];
                    self.add(world, (label, index), 0, |w| self.ask(w, index, process));
                }
            }
            return;
        }
        if let Some(id) = caller.grant {
            self.add(world, ("caller receives its grant", index), 0, |w| {
                w.callers[index].grant = None;
                w.callers[index]
                    .state
                    .apply_decision(&ClaimDecision::Granted(id));
            });
        }
        if matches!(caller.state, ClaimantState::Holding(_)) {
            self.add(world, ("caller sends", index), 0, |w| {
                w.callers[index].call = w.callers[index].state.send();
            });
        }
        if caller.call.is_some() {
            self.add(
                world,
                ("endpoint receives the call of caller", index),
                0,
                |w| {
                    self.receive(w, index);
                },
            );
        }
        if caller.state != ClaimantState::Ended {
            self.add(world, ("caller gives up", index), 0, |w| {
                let caller = &mut w.callers[index];
                caller.was_told_not_run = !matches!(caller.state, ClaimantState::Sent(_));
                self.end(caller, None);
            });
        }
        if let Some(farewell) = caller.farewell {
            for process in 0..2 {
                // Only where the owner has changed does a request end with another process than it asked.
                let is_asked = caller.asked == Some(process as u8);
                if world.processes[process].is_dead || !(is_asked || self.scenario.has_rerouting) {
                    continue;
                }
                let label = ["caller tells a its end", "caller tells b its end"][process];
                self.add(world, (label, index), 0, |w| {
                    w.callers[index].farewell = None;
                    self.leave(w, index, process, farewell);
                });
            }
        }
    }

    /// Ends the request of a caller; one that has ended before changes nothing.
    fn end(&self, caller: &mut Caller, outcome: Option<Outcome>) {
        caller.grant = None;
        if let Some(farewell) = caller.state.end(outcome) {
            caller.farewell = Some(self.farewells.add(farewell));
        }
    }

    fn ask(&self, world: &mut World, index: usize, process: usize) {
        world.callers[index].asked = Some(process as u8);
        let request = Request {
            key: self.key(),
            claimant: index as u64,
            body_hash: [0; 32],
            may_use_memory: self.scenario.uses_memory,
            deadline_ms: u64::from(world.step + 1) * STEP_MS,
        };
        self.step(world, process, Input::Claim(Box::new(request)));
    }

    fn receive(&self, world: &mut World, index: usize) {
        let is_logged = self.records.get(world.log).iter().any(|record| {
            matches!(record, Record::Claims { claims, .. } if claims.iter().any(|c| c.claimant == index as u64))
        });
        let caller = &mut world.callers[index];
        let Some(id) = caller.call.take() else {
            return;
        };
        let checks = self.scenario.uses_memory && self.scenario.broken != Broken::EndpointCheck;
        if checks && id.fence < world.endpoint_fence {
            self.reached
                .rejections
                .set(self.reached.rejections.get() + 1);
            return self.end(caller, None);
        }
        world.endpoint_fence = world.endpoint_fence.max(id.fence);
        caller.has_run = true;
        world.runs += 1;
        world.last_run = index as u8;
        if !is_logged {
            self.reached
                .memory_runs
                .set(self.reached.memory_runs.get() + 1);
        }
        let answer = Answer {
            status: index as u16,
            content_type: String::new(),
            body: None,
        };
        // A caller that has given up misses the answer.
        self.end(caller, Some(Outcome::Done(answer)));
    }

    fn leave(&self, world: &mut World, index: usize, process: usize, farewell: Interned) {
        let key = self.key();
        let input = match &*self.farewells.get(farewell) {
            EndNotice::GiveUp => Input::GiveUp {
                key,
                claimant: index as u64,
            },
            EndNotice::Settle(id, result) => {
                let entry = self.owner(world, process).table().get(&key).cloned();
                let id = match entry {
                    Some(entry) if self.scenario.broken == Broken::OutcomeFence => entry.id,
                    _ => *id,
                };
                let result = result.clone();
                Input::Settle { key, id, result }
            }
        };
        self.step(world, process, input);
    }
}

impl Caller {
    /// Takes an answer; only a grant matters later than on arrival, since any other answer ends the request.
    fn hear(&mut self, decision: &ClaimDecision) {
        if self.state != ClaimantState::Waiting {
            return;
        }
        if let ClaimDecision::Granted(id) = decision {
            self.grant = Some(*id);
            return;
        }
        self.state.apply_decision(decision);
        if let ClaimDecision::Refused(refusal) = decision {
            self.was_told_not_run = refusal.run == ExecutionStatus::NotRun;
        }
    }
}

/// Explores the scenario and returns the violation, if there is one.
fn explore(scenario: Scenario) -> (Option<&'static str>, Reached) {
    let model = Model::new(scenario);
    let path = bfs(
        &model.pack(&model.start()),
        |packed| {
            model.reached.states.set(model.reached.states.get() + 1);
            let next = model.successors(&model.unpack(packed));
            let next: Vec<Packed> = next.iter().map(|(_, world)| model.pack(world)).collect();
            next
        },
        |world| world.violation.is_some(),
    );
    println!("{scenario:?}: {:?}", model.reached);
    let Some(path) = path else {
        return (None, model.reached);
    };
    for pair in path.windows(2) {
        let next = model.successors(&model.unpack(&pair[0]));
        if let Some((label, _)) = next.iter().find(|next| model.pack(&next.1) == pair[1]) {
            println!("  {} {}", label.0, label.1);
        }
    }
    let violation = path.last().and_then(|world| world.violation);
    println!("  violation: {violation:?}");
    (violation, model.reached)
}

/// Key that is accepted from the second step of the clock on, after a takeover in the first.
const NEW_KEY_MS: u64 = STEP_MS / 2;

const MEMORY: Scenario = Scenario {
    uses_memory: true,
    ..PLAIN
};

/// Expects no violation.
fn hold(scenario: Scenario) -> Reached {
    let (violation, reached) = explore(scenario);
    assert_eq!(violation, None);
    assert!(reached.repeats.get() > 0, "no repeat received an answer");
    if scenario.uses_memory {
        assert!(
            reached.memory_runs.get() > 0,
            "no claim was granted from memory"
        );
    }
    reached
}

/// Expects that the check finds the switched-off mechanism.
fn fail(scenario: Scenario) {
    assert_ne!(explore(scenario).0, None);
}

/// Guards against a key that runs twice when all claims are in the log and endpoints check nothing.
#[test]
fn log_only() {
    hold(PLAIN);
}

/// Guards against a second run of a key that ran from memory before a takeover.
#[test]
fn old_key() {
    let reached = hold(MEMORY);
    assert!(
        reached.rejections.get() > 0,
        "no endpoint rejected a former owner"
    );
}

/// Guards against a second run of a key that a former owner grants from memory after a takeover.
#[test]
fn new_key() {
    hold(Scenario {
        created_ms: NEW_KEY_MS,
        ..MEMORY
    });
}

/// Key that the first owner accepts in the second step of the clock, when its own clock is ahead.
const AHEAD: Scenario = Scenario {
    created_ms: 3 * STEP_MS,
    failures: 1,
    steps: 2,
    ahead_ms: STEP_MS,
    skew_ms: STEP_MS,
    start: Start::CutOff,
    ..MEMORY
};

/// Guards against a second run, or a wrong `not_run`, of a key whose time is ahead of the successor's clock.
#[test]
fn skewed_clocks() {
    hold(AHEAD);
}

/// Guards against claims that a planned handover leaves behind, in the log and in memory.
#[test]
fn planned_stop() {
    hold(Scenario {
        failures: 1,
        steps: 0,
        has_stop: true,
        ..PLAIN
    });
    hold(Scenario {
        failures: 0,
        has_stop: true,
        ..MEMORY
    });
}

/// Guards against a process that was taken for gone and comes back, and against a restart under the same name.
#[test]
fn return_and_restart() {
    for has_restart in [false, true] {
        hold(Scenario {
            failures: 1,
            steps: 0,
            has_return: !has_restart,
            has_restart,
            ..PLAIN
        });
    }
}

/// Guards against two processes that both take an unowned range.
#[test]
fn cold_start() {
    hold(Scenario {
        failures: 1,
        steps: 0,
        start: Start::Cold,
        ..PLAIN
    });
}

/// Guards against a third request that runs a key which was given up and granted again.
#[test]
fn three_callers() {
    hold(Scenario {
        failures: 1,
        callers: 3,
        steps: 0,
        ..PLAIN
    });
    // A key below the cutoff whose logged claim was given up may have run from memory since.
    hold(Scenario {
        failures: 1,
        callers: 3,
        start: Start::CutOff,
        ..MEMORY
    });
    for created_ms in [0, NEW_KEY_MS] {
        let scenario = Scenario {
            failures: 0,
            callers: 3,
            created_ms,
            has_rerouting: true,
            start: Start::TakenOver,
            ..MEMORY
        };
        assert_eq!(explore(scenario).0, None);
    }
}

/// Shows that a successor must raise the fence before it serves.
#[test]
fn without_raise() {
    let scenario = Scenario {
        broken: Broken::FenceRaise,
        created_ms: NEW_KEY_MS,
        ..MEMORY
    };
    fail(scenario);
}

/// Shows that keys which may have run from memory need the cutoff.
#[test]
fn without_cutoff() {
    let scenario = Scenario {
        broken: Broken::Cutoff,
        failures: 1,
        start: Start::CutOff,
        ..MEMORY
    };
    fail(scenario);
}

/// Shows that the cutoff has to cover the skew twice.
#[test]
fn without_key_skew() {
    let scenario = Scenario {
        broken: Broken::KeySkew,
        ..AHEAD
    };
    fail(scenario);
}

/// Shows that a claim must be read back before its call is sent.
#[test]
fn without_read_back() {
    let scenario = Scenario {
        broken: Broken::ReadBack,
        ..PLAIN
    };
    fail(scenario);
}

/// Shows that replay must compare the fence.
#[test]
fn without_replay_fence() {
    let scenario = Scenario {
        broken: Broken::ReplayFence,
        ..PLAIN
    };
    fail(scenario);
}

/// Shows that claims may be granted from memory only where endpoints check the fence.
#[test]
fn without_endpoint_check() {
    let scenario = Scenario {
        broken: Broken::EndpointCheck,
        created_ms: NEW_KEY_MS,
        ..MEMORY
    };
    fail(scenario);
}

/// Shows that an outcome must name the fence of its claim, since two owners may use the same attempt number.
#[test]
fn without_outcome_fence() {
    let scenario = Scenario {
        broken: Broken::OutcomeFence,
        created_ms: NEW_KEY_MS,
        failures: 0,
        callers: 3,
        has_rerouting: true,
        start: Start::TakenOver,
        ..MEMORY
    };
    fail(scenario);
}
