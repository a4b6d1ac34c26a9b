//! Exhaustive model check of the claim protocol: every interleaving of steps, with up to two failures.
//!
//! The model drives the production `ClaimOwner` and `ClaimantState`. A process may pause before any step, since no step
//! is forced to happen. Tests of the complete protocol expect no violation. Tests that disable one mechanism, in the
//! model around the production code, expect a violation.

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

/// Length of a clock step, also used as the outage time and as the wait of a request, in milliseconds.
const STEP_MS: u64 = 10;

/// Maximum number of `Own` records in the log; two processes that see each other as gone would alternate without end.
const OWN_RECORDS_MAX: usize = 3;

/// Maximum number of callers in a scenario.
const CALLERS_MAX: usize = 3;

/// Mechanism of the protocol that a test disables.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledMechanism {
    None,
    /// The fence is not raised on endpoints before the new owner serves.
    FenceRaise,
    /// The new owner writes a cutoff of 0.
    Cutoff,
    /// The cutoff covers the skew of the former owner's clock, but not that of the time in the key.
    KeySkew,
    /// An append is treated as read back as soon as it starts.
    ReadBack,
    /// Replay skips the `Own` record of the other process.
    ReplayFence,
    /// Endpoints do not check the fence, although claims are granted from memory.
    EndpointCheck,
    /// An outcome is applied to the current claim of the key, whichever that is.
    OutcomeFence,
}

/// Initial state of the exploration.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// No process has read the log, and the range has no owner.
    Cold,
    /// The first process is the owner.
    Owned,
    /// The first process is the owner, cannot reach the log and grants claims from memory.
    Disconnected,
    /// The first process cannot reach the log, and the second has taken over.
    TakenOver,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    disabled: DisabledMechanism,
    uses_memory: bool,
    failures: u8,
    callers: usize,
    /// Creation time of the key.
    created_ms: u64,
    /// Maximum number of clock steps.
    steps: u8,
    /// Whether a process that saw the other as gone may see it again.
    has_return: bool,
    /// Whether a request may send its end notice to the process that it did not ask.
    has_rerouting: bool,
    /// Offset by which the wall clock of the first process is ahead, in milliseconds.
    ahead_ms: u64,
    /// Maximum clock skew configured for the owners, in milliseconds.
    skew_ms: u64,
    has_stop: bool,
    /// Whether a killed process is replaced by a new one on the same VM.
    has_restart: bool,
    start: Start,
}

const LOG_ONLY: Scenario = Scenario {
    disabled: DisabledMechanism::None,
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
    start: Start::Owned,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Process {
    owner: Interned,
    incarnation: u8,
    is_disconnected: bool,
    has_stopped: bool,
    is_dead: bool,
    sees_other: bool,
    has_noticed_absence: bool,
    append: Option<Interned>,
    raise: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Caller {
    state: ClaimantState,
    asked_process: Option<u8>,
    grant: Option<ClaimId>,
    call: Option<ClaimId>,
    end_notice: Option<Interned>,
    has_run: bool,
    received_not_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    failures_left: u8,
    log: Interned,
    delayed_append: Option<Interned>,
    processes: [Process; 2],
    callers: [Caller; CALLERS_MAX],
    endpoint_fence: u64,
    runs: u8,
    last_run: u8,
    violation: Option<&'static str>,
}

/// Compact form of a world, since the exploration holds millions of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PackedWorld {
    step: u8,
    failures_left: u8,
    runs: u8,
    last_run: u8,
    log: Interned,
    delayed_append: Option<Interned>,
    processes: [Interned; 2],
    callers: [Interned; CALLERS_MAX],
    endpoint_fence: u32,
    violation: Option<&'static str>,
}

/// Counters of what the exploration reached, so that a check that explores nothing fails.
#[derive(Debug, Default)]
struct Coverage {
    states: Cell<usize>,
    memory_runs: Cell<usize>,
    repeats: Cell<usize>,
    rejections: Cell<usize>,
}

/// Number of a value in an [`Interner`].
type Interned = u32;

/// Values by number, which keeps worlds small and fast to compare.
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
    coverage: Coverage,
    owners: Interner<ClaimOwner>,
    records: Interner<Vec<Record>>,
    end_notices: Interner<EndNotice>,
    processes: Interner<Process>,
    callers: Interner<Caller>,
    steps: RefCell<HashMap<Step, AfterStep>>,
    successors: RefCell<Vec<(Label, World)>>,
}

/// Description of a step, and the index of its process or caller.
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
            coverage: Coverage::default(),
            owners: Interner::new(),
            records: Interner::new(),
            end_notices: Interner::new(),
            processes: Interner::new(),
            callers: Interner::new(),
            steps: RefCell::default(),
            successors: RefCell::default(),
        }
    }

    fn pack(&self, world: &World) -> PackedWorld {
        PackedWorld {
            step: world.step,
            failures_left: world.failures_left,
            runs: world.runs,
            last_run: world.last_run,
            log: world.log,
            delayed_append: world.delayed_append,
            processes: world.processes.map(|process| self.processes.add(process)),
            callers: world.callers.map(|caller| self.callers.add(caller)),
            endpoint_fence: world.endpoint_fence as u32,
            violation: world.violation,
        }
    }

    fn unpack(&self, packed: &PackedWorld) -> World {
        World {
            step: packed.step,
            failures_left: packed.failures_left,
            log: packed.log,
            delayed_append: packed.delayed_append,
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

    fn initial_world(&self) -> World {
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
            is_disconnected: false,
            has_stopped: false,
            is_dead: false,
            sees_other: true,
            has_noticed_absence: false,
            append: None,
            raise: None,
        };
        let caller = Caller {
            state: ClaimantState::Waiting,
            asked_process: None,
            grant: None,
            call: None,
            end_notice: None,
            has_run: false,
            received_not_run: false,
        };
        let mut world = World {
            step: 0,
            failures_left: self.scenario.failures,
            log: self.records.add(Vec::new()),
            delayed_append: None,
            processes: [process(0), process(1)],
            callers: [caller; CALLERS_MAX],
            endpoint_fence: 0,
            runs: 0,
            last_run: 0,
            violation: None,
        };
        for index in 0..2 {
            self.members(&mut world, index, true);
            // The first tick only schedules the next removal of expired keys.
            self.step(&mut world, index, Input::Tick);
        }
        if self.scenario.start != Start::Cold {
            self.make_active_owner(&mut world, 0);
        }
        if self.scenario.start == Start::Disconnected {
            world.processes[0].is_disconnected = true;
            world.step = 1;
        }
        if self.scenario.start == Start::TakenOver {
            world.processes[0].is_disconnected = true;
            self.members(&mut world, 1, false);
            self.make_active_owner(&mut world, 1);
        }
        world
    }

    /// Runs a process without interleaving until it is the active owner.
    fn make_active_owner(&self, world: &mut World, index: usize) {
        while !(self.owner(world, index).is_owner() && self.owner(world, index).table().is_active())
        {
            if let Some(records) = world.processes[index].append.take() {
                self.apply_append(world, records);
                let is_confirmed = true;
                self.step(world, index, Input::AppendEnded { is_confirmed });
            }
            self.raise(world, index);
            self.read(world, index);
        }
    }

    fn apply_append(&self, world: &mut World, records: Interned) {
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
                // Endpoints that do not check the fence receive no order to raise it.
                Effect::RaiseFence(_) => {}
                Effect::Reply { claimant, decision } => {
                    self.check_reply(world, index, decision);
                    world.callers[*claimant as usize].receive_decision(decision);
                }
            }
        }
    }

    fn start_append(&self, world: &mut World, index: usize, mut records: Vec<Record>) {
        for record in &mut records {
            if let Record::Active { cutoff_ms, .. } = record {
                match self.scenario.disabled {
                    DisabledMechanism::Cutoff => *cutoff_ms = 0,
                    DisabledMechanism::KeySkew => {
                        *cutoff_ms = cutoff_ms.saturating_sub(self.scenario.skew_ms)
                    }
                    _ => {}
                }
            }
        }
        world.processes[index].append = Some(self.records.add(records.clone()));
        if self.scenario.disabled == DisabledMechanism::ReadBack {
            let first = self.owner(world, index).next_offset();
            let records = (first..).zip(records.into_iter().map(Some)).collect();
            let is_end = true;
            self.step(world, index, Input::Read { records, is_end });
        }
    }

    /// Checks a decision against the log and the runs at this moment.
    fn check_reply(&self, world: &mut World, index: usize, decision: &ClaimDecision) {
        let owner = self.owner(world, index);
        let is_up_to_date = owner.next_offset() == self.records.get(world.log).len() as u64;
        let entry = owner.table().get(&self.key());
        match decision {
            ClaimDecision::Granted(_) => {}
            ClaimDecision::Done(answer) => {
                self.coverage.repeats.set(self.coverage.repeats.get() + 1);
                if world.runs != 1 || u16::from(world.last_run) != answer.status {
                    world.violation =
                        Some("a repeat received an answer that is not the answer of the run");
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
                    world.violation = Some("the owner answered not_run for a key that has run");
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
            let is_hidden = self.scenario.disabled == DisabledMechanism::ReplayFence
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
        if self.scenario.disabled != DisabledMechanism::FenceRaise {
            // An endpoint with a newer fence rejects the order.
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
            // A stopping process is no longer a candidate for ownership.
            preferred = vm(usize::from(world.processes[0].has_stopped));
        }
        self.step(world, index, Input::Members { preferred, live });
    }

    /// Adds the world that results from `change`, unless it is unchanged.
    fn add(&self, world: &World, label: Label, cost: u8, change: impl FnOnce(&mut World)) {
        let Some(failures_left) = world.failures_left.checked_sub(cost) else {
            return;
        };
        let mut next = *world;
        change(&mut next);
        for caller in &next.callers {
            if caller.received_not_run && (caller.has_run || caller.call.is_some()) {
                next.violation = Some("a caller received not_run although its call ran or may run");
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
            caller.state == ClaimantState::Ended
                && caller.call.is_none()
                && caller.asked_process.is_some()
        };
        if world.violation.is_some() || world.callers[..self.scenario.callers].iter().all(is_over) {
            return Vec::new();
        }
        if world.step < self.scenario.steps {
            self.add(world, ("the clock advances", 0), 0, |w| w.step += 1);
        }
        if let Some(records) = world.delayed_append {
            self.add(world, ("a delayed append takes effect", 0), 0, |w| {
                w.delayed_append = None;
                self.apply_append(w, records);
            });
        }
        if world
            .processes
            .iter()
            .all(|process| !process.is_disconnected)
        {
            self.add(world, ("the log goes down", 0), 1, |w| {
                w.processes[0].is_disconnected = true;
                w.processes[1].is_disconnected = true;
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
        if process.is_disconnected {
            self.add(world, ("owner reaches the log again", index), 0, |w| {
                w.processes[index].is_disconnected = false;
            });
        } else {
            // Prunes reads of a passive process: while its state is not observed, a later read has the same effect.
            let is_asked = world
                .callers
                .iter()
                .any(|caller| caller.asked_process == Some(index as u8));
            let is_passive = index == 1 && process.sees_other && !self.scenario.has_stop;
            if !is_passive || is_asked || process.has_noticed_absence || self.scenario.has_return {
                self.add(world, ("owner reads", index), 0, |w| self.read(w, index));
            }
            self.add(
                world,
                ("owner is disconnected from the log", index),
                1,
                |w| {
                    w.processes[index].is_disconnected = true;
                },
            );
        }
        if let Some(records) = process.append {
            self.append_steps(world, index, records);
        }
        if process.raise.is_some() {
            self.add(world, ("owner raises the fence", index), 0, |w| {
                self.raise(w, index)
            });
        }
        // Detecting the absence of a killed process costs no failure the first time; any other detection counts as a
        // failure.
        let other = &world.processes[1 - index];
        let is_absent = other.is_dead || other.incarnation > 0;
        let cost = u8::from(!is_absent || process.has_noticed_absence);
        if process.sees_other {
            self.add(world, ("owner sees the other as gone", index), cost, |w| {
                w.processes[index].has_noticed_absence |= is_absent;
                self.members(w, index, false);
            });
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
        if owns >= OWN_RECORDS_MAX && self.records.get(records).iter().any(is_own) {
            return;
        }
        if world.processes[index].is_disconnected {
            return self.add(world, ("owner's append fails", index), 0, |w| end(w, false));
        }
        self.add(world, ("owner appends", index), 0, |w| {
            self.apply_append(w, records);
            end(w, true);
        });
        self.add(
            world,
            ("owner appends, the answer is lost", index),
            1,
            |w| {
                self.apply_append(w, records);
                end(w, false);
            },
        );
        self.add(world, ("owner appends, applied twice", index), 1, |w| {
            self.apply_append(w, records);
            self.apply_append(w, records);
            end(w, true);
        });
        if world.delayed_append.is_none() {
            self.add(world, ("owner's append is delayed", index), 1, |w| {
                w.delayed_append = Some(records);
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
        // The append in progress of a killed process may still take effect.
        if let Some(records) = process.append.take() {
            world.delayed_append = Some(records);
        }
        self.members(world, index, true);
        self.step(world, index, Input::Tick);
    }

    fn caller_steps(&self, world: &World, index: usize) {
        let caller = &world.callers[index];
        if caller.asked_process.is_none() {
            // Callers are interchangeable, so they start in order.
            if index > 0 && world.callers[index - 1].asked_process.is_none() {
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
                caller.received_not_run = !matches!(caller.state, ClaimantState::Sent(_));
                self.end(caller, None);
            });
        }
        if let Some(end_notice) = caller.end_notice {
            for process in 0..2 {
                // An end notice reaches a process that was not asked only if the request is rerouted after a change of
                // owner.
                let is_asked = caller.asked_process == Some(process as u8);
                if world.processes[process].is_dead || !(is_asked || self.scenario.has_rerouting) {
                    continue;
                }
                let label = [
                    "caller notifies a of its end",
                    "caller notifies b of its end",
                ][process];
                self.add(world, (label, index), 0, |w| {
                    w.callers[index].end_notice = None;
                    self.deliver_end_notice(w, index, process, end_notice);
                });
            }
        }
    }

    /// Ends the request of a caller; has no effect if it has ended before.
    fn end(&self, caller: &mut Caller, outcome: Option<Outcome>) {
        caller.grant = None;
        if let Some(end_notice) = caller.state.end(outcome) {
            caller.end_notice = Some(self.end_notices.add(end_notice));
        }
    }

    fn ask(&self, world: &mut World, index: usize, process: usize) {
        world.callers[index].asked_process = Some(process as u8);
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
        let checks =
            self.scenario.uses_memory && self.scenario.disabled != DisabledMechanism::EndpointCheck;
        if checks && id.fence < world.endpoint_fence {
            self.coverage
                .rejections
                .set(self.coverage.rejections.get() + 1);
            return self.end(caller, None);
        }
        world.endpoint_fence = world.endpoint_fence.max(id.fence);
        caller.has_run = true;
        world.runs += 1;
        world.last_run = index as u8;
        if !is_logged {
            self.coverage
                .memory_runs
                .set(self.coverage.memory_runs.get() + 1);
        }
        let answer = Answer {
            status: index as u16,
            content_type: String::new(),
            body: None,
        };
        // Has no effect if the caller has given up.
        self.end(caller, Some(Outcome::Done(answer)));
    }

    fn deliver_end_notice(
        &self,
        world: &mut World,
        index: usize,
        process: usize,
        end_notice: Interned,
    ) {
        let key = self.key();
        let input = match &*self.end_notices.get(end_notice) {
            EndNotice::GiveUp => Input::GiveUp {
                key,
                claimant: index as u64,
            },
            EndNotice::Settle(id, result) => {
                let entry = self.owner(world, process).table().get(&key).cloned();
                let id = match entry {
                    Some(entry) if self.scenario.disabled == DisabledMechanism::OutcomeFence => {
                        entry.id
                    }
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
    /// Receives a decision; a grant is applied in a later step, any other decision ends the request at once.
    fn receive_decision(&mut self, decision: &ClaimDecision) {
        if self.state != ClaimantState::Waiting {
            return;
        }
        if let ClaimDecision::Granted(id) = decision {
            self.grant = Some(*id);
            return;
        }
        self.state.apply_decision(decision);
        if let ClaimDecision::Refused(refusal) = decision {
            self.received_not_run = refusal.run == ExecutionStatus::NotRun;
        }
    }
}

/// Explores the scenario and returns the violation, if any, and the coverage.
fn explore(scenario: Scenario) -> (Option<&'static str>, Coverage) {
    let model = Model::new(scenario);
    let path = bfs(
        &model.pack(&model.initial_world()),
        |packed| {
            model.coverage.states.set(model.coverage.states.get() + 1);
            let next = model.successors(&model.unpack(packed));
            let next: Vec<PackedWorld> = next.iter().map(|(_, world)| model.pack(world)).collect();
            next
        },
        |world| world.violation.is_some(),
    );
    println!("{scenario:?}: {:?}", model.coverage);
    let Some(path) = path else {
        return (None, model.coverage);
    };
    for pair in path.windows(2) {
        let next = model.successors(&model.unpack(&pair[0]));
        if let Some((label, _)) = next.iter().find(|next| model.pack(&next.1) == pair[1]) {
            println!("  {} {}", label.0, label.1);
        }
    }
    let violation = path.last().and_then(|world| world.violation);
    println!("  violation: {violation:?}");
    (violation, model.coverage)
}

/// Creation time of a key that is past the cutoff of a takeover in the first clock step and accepted from the second
/// step on, in milliseconds.
const NEW_KEY_MS: u64 = STEP_MS / 2;

const MEMORY: Scenario = Scenario {
    uses_memory: true,
    ..LOG_ONLY
};

/// Asserts that the scenario has no violation, and that repeats and grants from memory were reached.
fn assert_no_violation(scenario: Scenario) -> Coverage {
    let (violation, coverage) = explore(scenario);
    assert_eq!(violation, None);
    assert!(coverage.repeats.get() > 0, "no repeat received an answer");
    if scenario.uses_memory {
        assert!(
            coverage.memory_runs.get() > 0,
            "no claim was granted from memory"
        );
    }
    coverage
}

/// Asserts that the scenario has a violation.
fn assert_violation(scenario: Scenario) {
    assert_ne!(explore(scenario).0, None);
}

/// Guards against a key that runs twice when all claims are in the log and endpoints do not check the fence.
#[test]
fn log_only() {
    assert_no_violation(LOG_ONLY);
}

/// Guards against a second run of a key that ran from memory before a takeover.
#[test]
fn old_key() {
    let coverage = assert_no_violation(MEMORY);
    assert!(
        coverage.rejections.get() > 0,
        "no endpoint rejected a former owner"
    );
}

/// Guards against a second run of a key that a former owner grants from memory after a takeover.
#[test]
fn new_key() {
    assert_no_violation(Scenario {
        created_ms: NEW_KEY_MS,
        ..MEMORY
    });
}

/// Scenario in which the first owner, whose clock is ahead, accepts a key in the second clock step.
const CLOCK_AHEAD: Scenario = Scenario {
    created_ms: 3 * STEP_MS,
    failures: 1,
    steps: 2,
    ahead_ms: STEP_MS,
    skew_ms: STEP_MS,
    start: Start::Disconnected,
    ..MEMORY
};

/// Guards against a second run, or a wrong `not_run`, of a key whose creation time is ahead of the new owner's clock.
#[test]
fn skewed_clocks() {
    assert_no_violation(CLOCK_AHEAD);
}

/// Guards against claims that are lost in a planned handover, from the log or from memory.
#[test]
fn planned_stop() {
    assert_no_violation(Scenario {
        failures: 1,
        steps: 0,
        has_stop: true,
        ..LOG_ONLY
    });
    assert_no_violation(Scenario {
        failures: 0,
        has_stop: true,
        ..MEMORY
    });
}

/// Guards against a second run after a process that was seen as gone returns, or restarts on the same VM.
#[test]
fn return_and_restart() {
    for has_restart in [false, true] {
        assert_no_violation(Scenario {
            failures: 1,
            steps: 0,
            has_return: !has_restart,
            has_restart,
            ..LOG_ONLY
        });
    }
}

/// Guards against two processes that both take over an unowned range.
#[test]
fn cold_start() {
    assert_no_violation(Scenario {
        failures: 1,
        steps: 0,
        start: Start::Cold,
        ..LOG_ONLY
    });
}

/// Guards against a third request that runs a key again after a first gave it up and a second was granted it.
#[test]
fn three_callers() {
    assert_no_violation(Scenario {
        failures: 1,
        callers: 3,
        steps: 0,
        ..LOG_ONLY
    });
    // A key below the cutoff whose logged claim was given up may have run since under a grant from memory.
    assert_no_violation(Scenario {
        failures: 1,
        callers: 3,
        start: Start::Disconnected,
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

/// Shows that a new owner must raise the fence before it serves.
#[test]
fn without_raise() {
    let scenario = Scenario {
        disabled: DisabledMechanism::FenceRaise,
        created_ms: NEW_KEY_MS,
        ..MEMORY
    };
    assert_violation(scenario);
}

/// Shows that the cutoff is needed for keys that may have run under a grant from memory.
#[test]
fn without_cutoff() {
    let scenario = Scenario {
        disabled: DisabledMechanism::Cutoff,
        failures: 1,
        start: Start::Disconnected,
        ..MEMORY
    };
    assert_violation(scenario);
}

/// Shows that the cutoff has to cover twice the clock skew.
#[test]
fn without_key_skew() {
    let scenario = Scenario {
        disabled: DisabledMechanism::KeySkew,
        ..CLOCK_AHEAD
    };
    assert_violation(scenario);
}

/// Shows that a claim must be read back before its call is sent.
#[test]
fn without_read_back() {
    let scenario = Scenario {
        disabled: DisabledMechanism::ReadBack,
        ..LOG_ONLY
    };
    assert_violation(scenario);
}

/// Shows that replay must reject records with an outdated fence.
#[test]
fn without_replay_fence() {
    let scenario = Scenario {
        disabled: DisabledMechanism::ReplayFence,
        ..LOG_ONLY
    };
    assert_violation(scenario);
}

/// Shows that claims may be granted from memory only where endpoints check the fence.
#[test]
fn without_endpoint_check() {
    let scenario = Scenario {
        disabled: DisabledMechanism::EndpointCheck,
        created_ms: NEW_KEY_MS,
        ..MEMORY
    };
    assert_violation(scenario);
}

/// Shows that an outcome must contain the fence of its claim, since two owners may use the same attempt number.
#[test]
fn without_outcome_fence() {
    let scenario = Scenario {
        disabled: DisabledMechanism::OutcomeFence,
        created_ms: NEW_KEY_MS,
        failures: 0,
        callers: 3,
        has_rerouting: true,
        start: Start::TakenOver,
        ..MEMORY
    };
    assert_violation(scenario);
}
