//! Attribution of crashes to parts of prompts: what crashes have in common is refused everywhere, and nothing else.

use std::collections::VecDeque;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use waxwing_core::forwarding::crashing_parts::Clearance;
use waxwing_core::forwarding::crashing_parts::CrashReport;
use waxwing_core::forwarding::crashing_parts::CrashingParts;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::PartState;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::crashing_parts::Standing;
use waxwing_core::forwarding::crashing_parts::TRIAL_MS;
use waxwing_core::forwarding::crashing_parts::Trials;
use waxwing_core::forwarding::endpoints::notices::Incarnation;

const BEGIN_MS: u64 = 1_000_000;

/// First part, which all prompts share.
const FIRST: PartKey = PartKey(1);

/// Part that crashes endpoints.
const CRASHING: PartKey = PartKey(2);

/// Part of sound prompts.
const SOUND: PartKey = PartKey(3);

const OWN: Scope = Scope {
    organisation: 10,
    service: 20,
};

/// Returns the scope of another organisation of the same service.
fn organisation(number: u64) -> Scope {
    Scope {
        organisation: number,
        ..OWN
    }
}

/// Records crashes of one endpoint after the other, a second apart; returns the time of the last.
fn crash(known: &mut CrashingParts, scope: Scope, parts: &[PartKey], count: u64) -> u64 {
    let mut at_ms = BEGIN_MS;
    for endpoint in 0..count {
        at_ms = BEGIN_MS + endpoint * 1_000;
        let endpoint = Incarnation(scope.organisation * 1_000 + endpoint);
        known.record_crash(endpoint, scope, parts, at_ms, at_ms);
    }
    at_ms
}

fn is_refused(standing: Standing) -> bool {
    matches!(standing, Standing::Refused { .. })
}

/// Guards against a part that is not refused although all crashed prompts had it, and against the refusal of sound prompts
/// that share the other parts.
#[test]
fn common_part() {
    let mut known = CrashingParts::new();
    let now_ms = crash(&mut known, OWN, &[FIRST, CRASHING], 3);
    assert!(is_refused(known.judge(OWN, &[FIRST, CRASHING], now_ms)));
    // Nothing has cleared the first part yet, so it may be the cause as well.
    assert_eq!(
        known.judge(OWN, &[FIRST, SOUND], now_ms),
        Standing::Suspect(FIRST)
    );
    assert_eq!(
        known.judge(OWN, &[PartKey(4), CRASHING], now_ms),
        Standing::Suspect(CRASHING),
        "without the first part the prompt may be sound"
    );
    known.record_answer(OWN, &[FIRST, SOUND], now_ms);
    assert_eq!(known.judge(OWN, &[FIRST, SOUND], now_ms), Standing::Clear);
    assert!(is_refused(known.judge(
        OWN,
        &[PartKey(4), CRASHING],
        now_ms
    )));
}

/// Guards against a crash that is attributed to parts whose answers went on elsewhere.
#[test]
fn sound_beside() {
    let mut known = CrashingParts::new();
    known.record_answer(OWN, &[FIRST], BEGIN_MS - 1_000);
    crash(&mut known, OWN, &[FIRST, SOUND], 1);
    assert_eq!(
        known.judge(OWN, &[FIRST, SOUND], BEGIN_MS),
        Standing::Suspect(SOUND)
    );
    assert_eq!(known.judge(OWN, &[FIRST], BEGIN_MS), Standing::Clear);
    known.record_answer(OWN, &[FIRST, SOUND], BEGIN_MS + 500);
    assert_eq!(
        known.judge(OWN, &[FIRST, SOUND], BEGIN_MS + 500),
        Standing::Clear
    );
}

/// Guards against a part that is refused because many endpoints were lost at once, under whatever they ran.
#[test]
fn lost_together() {
    let mut known = CrashingParts::new();
    for endpoint in 0..20 {
        let at_ms = BEGIN_MS + endpoint * 10;
        known.record_crash(Incarnation(endpoint), OWN, &[SOUND], at_ms, at_ms);
    }
    assert_eq!(
        known.judge(OWN, &[SOUND], BEGIN_MS + 200),
        Standing::Suspect(SOUND)
    );
}

/// Guards against five endpoints that are lost at once, and five more before the part is refused.
#[test]
fn five_at_once() {
    let mut known = CrashingParts::new();
    for endpoint in 0..5 {
        known.record_crash(Incarnation(endpoint), OWN, &[CRASHING], BEGIN_MS, BEGIN_MS);
    }
    let at_ms = BEGIN_MS + 10_000;
    known.record_crash(Incarnation(5), OWN, &[CRASHING], at_ms, at_ms);
    assert!(is_refused(known.judge(OWN, &[CRASHING], at_ms)));
}

/// Guards against an organisation that gets the parts of another one refused by naming them in prompts that crash endpoints
/// for another reason.
#[test]
fn other_organisation() {
    let mut known = CrashingParts::new();
    let now_ms = crash(&mut known, organisation(1), &[SOUND], 8);
    assert!(is_refused(known.judge(organisation(1), &[SOUND], now_ms)));
    assert_eq!(known.judge(OWN, &[SOUND], now_ms), Standing::Suspect(SOUND));
    known.record_answer(OWN, &[SOUND], now_ms);
    assert_eq!(known.judge(OWN, &[SOUND], now_ms), Standing::Clear);
    assert!(
        is_refused(known.judge(organisation(1), &[SOUND], now_ms)),
        "an answer to another organisation clears nothing"
    );
    let other_service = Scope {
        service: 21,
        ..organisation(1)
    };
    assert_eq!(
        known.judge(other_service, &[SOUND], now_ms),
        Standing::Clear
    );
}

/// Guards against a part that crashes endpoints for each organisation anew.
#[test]
fn several_organisations() {
    let mut known = CrashingParts::new();
    for number in 1..=3 {
        crash(&mut known, organisation(number), &[CRASHING], number);
    }
    assert!(is_refused(known.judge(OWN, &[CRASHING], BEGIN_MS + 3_000)));
}

/// Guards against a part that is tried again and again, and against one that never is.
#[test]
fn three_trials() {
    let mut known = CrashingParts::new();
    let mut now_ms = crash(&mut known, OWN, &[CRASHING], 3);
    let mut trials = Vec::new();
    let end_ms = now_ms + 3_000_000;
    while now_ms < end_ms {
        now_ms += 500;
        if let Standing::TrialDue { .. } = known.judge(OWN, &[CRASHING], now_ms) {
            trials.push(now_ms);
            let endpoint = Incarnation(100 + trials.len() as u64);
            known.record_crash(endpoint, OWN, &[CRASHING], now_ms, now_ms);
        }
        known.update(now_ms);
    }
    assert_eq!(trials.len(), 3);
    // All reports have expired an hour after the last crash.
    known.update(end_ms + 3_600_000);
    assert_eq!(
        known.judge(OWN, &[CRASHING], end_ms + 3_600_000),
        Standing::Clear
    );
}

/// Guards against a part that stays refused although an answer with it went on.
#[test]
fn sound_after_refusal() {
    let mut known = CrashingParts::new();
    let now_ms = crash(&mut known, OWN, &[SOUND], 3);
    let states = known.update(now_ms);
    assert_eq!(states[0].state, Some(PartState::Refused));
    assert_eq!(states[0].endpoints.len(), 3);
    let due_ms = now_ms + 10_000;
    assert!(matches!(
        known.judge(OWN, &[SOUND], due_ms),
        Standing::TrialDue { .. }
    ));
    assert!(known.record_answer(OWN, &[SOUND], due_ms));
    assert_eq!(known.judge(OWN, &[SOUND], due_ms), Standing::Clear);
    let states = known.update(due_ms);
    assert_eq!((states[0].state, states[0].is_cleared), (None, true));
}

/// Guards against memory that grows with the ids that callers choose, and against one organisation that makes the VMs forget
/// what they know of another.
#[test]
fn million_ids() {
    let mut known = CrashingParts::new();
    crash(&mut known, OWN, &[CRASHING], 3);
    for id in 0..1_000_000_u64 {
        known.record_answer(
            organisation(1),
            &[PartKey(1_000 + id)],
            BEGIN_MS + id / 1_000,
        );
    }
    for id in 0..10_000_u64 {
        let parts: Vec<PartKey> = (0..50).map(|part| PartKey(id * 100 + part)).collect();
        let at_ms = BEGIN_MS + id;
        known.record_crash(Incarnation(id), organisation(1), &parts, at_ms, at_ms);
    }
    let (reports, clearances) = known.sizes();
    assert!(
        reports <= 256 && clearances <= 16_384,
        "{reports} reports, {clearances} clearances"
    );
    assert!(is_refused(known.judge(OWN, &[CRASHING], BEGIN_MS + 3_000)));
}

/// Guards against two requests with a suspected part that are sent at the same time.
#[test]
fn one_trial() {
    let mut trials = Trials::default();
    assert!(trials.ask(CRASHING, TRIAL_MS, BEGIN_MS));
    assert!(!trials.ask(CRASHING, TRIAL_MS, BEGIN_MS + TRIAL_MS - 1));
    assert!(trials.ask(SOUND, TRIAL_MS, BEGIN_MS));
    trials.end(&[CRASHING]);
    assert!(trials.ask(CRASHING, TRIAL_MS, BEGIN_MS));
    assert!(trials.ask(CRASHING, TRIAL_MS, BEGIN_MS + TRIAL_MS));
}

/// A message between VMs that is under way.
struct Message {
    due_ms: u64,
    to: usize,
    reports: Vec<CrashReport>,
    clearances: Vec<Clearance>,
}

/// A run with the crashing part or a sound one.
struct Run {
    vm: usize,
    endpoint: u64,
    parts: Vec<PartKey>,
    begun_ms: u64,
}

/// VMs before endpoints that crash on a part, in virtual time.
struct Fleet {
    random: ChaCha8Rng,
    vms: Vec<CrashingParts>,
    trials: Trials,
    messages: VecDeque<Message>,
    runs: Vec<Run>,
    endpoints: u64,
    crashes_ms: Vec<u64>,
    sent_ms: Vec<u64>,
    refused_sound: usize,
    served_sound: usize,
    loss: f64,
}

impl Fleet {
    fn new(seed: u64, vms: usize, loss: f64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            vms: (0..vms).map(|_| CrashingParts::new()).collect(),
            trials: Trials::default(),
            messages: VecDeque::new(),
            runs: Vec::new(),
            endpoints: 0,
            crashes_ms: Vec::new(),
            sent_ms: Vec::new(),
            refused_sound: 0,
            served_sound: 0,
            loss,
        }
    }

    /// Sends what a VM has learned since `since_ms` to all others; some of the messages are lost.
    fn tell(&mut self, vm: usize, since_ms: u64, now_ms: u64) {
        let (reports, clearances) = self.vms[vm].findings(since_ms, now_ms);
        if reports.is_empty() && clearances.is_empty() {
            return;
        }
        for to in 0..self.vms.len() {
            if to == vm || self.random.random_bool(self.loss) {
                continue;
            }
            self.messages.push_back(Message {
                due_ms: now_ms + self.random.random_range(1..60),
                to,
                reports: reports.clone(),
                clearances: clearances.clone(),
            });
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        for _ in 0..self.messages.len() {
            let Some(message) = self.messages.pop_front() else {
                return;
            };
            if message.due_ms > now_ms {
                self.messages.push_back(message);
                continue;
            }
            self.vms[message.to].merge(&message.reports, &message.clearances, now_ms);
            if message.to == 0 {
                for report in &message.reports {
                    self.trials.end(&report.parts);
                }
            }
        }
    }

    /// Sends a request through a VM if the VM may send it; the first VM allows the trials.
    fn send(&mut self, vm: usize, parts: &[PartKey], now_ms: u64) {
        let may_send = match self.vms[vm].judge(OWN, parts, now_ms) {
            Standing::Clear => true,
            Standing::Refused { .. } => false,
            Standing::Suspect(part) => self.trials.ask(part, TRIAL_MS, now_ms),
            Standing::TrialDue { part, hold_ms } => self.trials.ask(part, hold_ms, now_ms),
        };
        let crashes = parts.contains(&CRASHING);
        if !may_send {
            self.refused_sound += usize::from(!crashes);
            return;
        }
        if crashes {
            self.sent_ms.push(now_ms);
        }
        // Of ten endpoints, one that runs something else besides.
        let endpoint = self.endpoints + self.random.random_range(0..10);
        self.runs.push(Run {
            vm,
            endpoint,
            parts: parts.to_vec(),
            begun_ms: now_ms,
        });
    }

    /// Lets runs end: those with the crashing part with their endpoint and all that run there, the others with an answer.
    fn end_runs(&mut self, now_ms: u64) {
        let begins = |run: &&Run| now_ms >= run.begun_ms + 60 && run.parts.contains(&CRASHING);
        while let Some(endpoint) = self.runs.iter().find(begins).map(|run| run.endpoint) {
            self.crashes_ms.push(now_ms);
            let (lost, kept) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run| run.endpoint == endpoint);
            self.runs = kept;
            let lost: Vec<Run> = lost;
            for run in &lost {
                let known = &mut self.vms[run.vm];
                known.record_crash(Incarnation(endpoint), OWN, &run.parts, now_ms, now_ms);
                self.trials.end(&run.parts);
            }
            for run in &lost {
                self.tell(run.vm, now_ms, now_ms);
            }
            // The endpoint starts again as another one.
            self.endpoints += 10;
        }
        let (ended, kept): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| now_ms >= run.begun_ms + 400);
        self.runs = kept;
        for run in ended {
            self.served_sound += 1;
            if self.vms[run.vm].record_answer(OWN, &run.parts, now_ms) {
                self.tell(run.vm, now_ms, now_ms);
            }
        }
    }

    /// Returns how many requests with the crashing part were sent later than three seconds after the fifth crash.
    fn late_requests(&self) -> usize {
        let Some(fifth_ms) = self.crashes_ms.get(4) else {
            return 0;
        };
        let late = self
            .sent_ms
            .iter()
            .filter(|at_ms| **at_ms > fifth_ms + 3_000);
        late.count()
    }
}

/// Runs a fleet for 40 s with requests at random VMs; some VMs start again meanwhile.
fn run_fleet(seed: u64, vms: usize, loss: f64, restarts: bool) -> Fleet {
    let mut fleet = Fleet::new(seed, vms, loss);
    let crashing_gap_ms = fleet.random.random_range(20..2_000);
    for now_ms in (BEGIN_MS..BEGIN_MS + 40_000).step_by(20) {
        fleet.deliver(now_ms);
        fleet.end_runs(now_ms);
        let vm = fleet.random.random_range(0..vms);
        let sound = PartKey(100 + fleet.random.random_range(0..30));
        fleet.send(vm, &[FIRST, sound], now_ms);
        if now_ms > BEGIN_MS + 2_000 && fleet.random.random_bool(20.0 / f64::from(crashing_gap_ms))
        {
            let vm = fleet.random.random_range(0..vms);
            fleet.send(vm, &[FIRST, CRASHING], now_ms);
        }
        if (now_ms - BEGIN_MS).is_multiple_of(300) {
            for vm in 0..vms {
                fleet.tell(vm, now_ms - 3_000, now_ms);
            }
        }
        if restarts && vms > 1 && fleet.random.random_bool(0.002) {
            // The others send a VM all that they know as soon as it announces itself.
            let vm = fleet.random.random_range(1..vms);
            fleet.vms[vm] = CrashingParts::new();
            let (reports, clearances) = fleet.vms[0].findings(0, now_ms);
            fleet.vms[vm].merge(&reports, &clearances, now_ms);
        }
    }
    fleet
}

/// Guards against fleets that lose more endpoints the more VMs they have, and against sound requests that are refused.
#[test]
fn fleet_sizes() {
    for vms in [1, 2, 5, 35, 118, 412] {
        let seeds = if vms > 100 { 2 } else { 12 };
        for seed in 0..seeds {
            let fleet = run_fleet(seed, vms, 0.2, true);
            let late = fleet.late_requests();
            let crashes = fleet.crashes_ms.len();
            println!(
                "{vms} VMs, seed {seed}: {crashes} crashes, {late} late requests, {} sound refused of {}",
                fleet.refused_sound,
                fleet.refused_sound + fleet.served_sound
            );
            assert!(
                late <= 3,
                "{vms} VMs, seed {seed}: {late} requests after the fifth crash"
            );
            assert!(
                crashes <= 8 + 5,
                "{vms} VMs, seed {seed}: {crashes} crashes"
            );
            assert!(
                fleet.refused_sound * 10 < fleet.served_sound,
                "{vms} VMs, seed {seed}"
            );
        }
    }
}

/// A finding, for random orders.
#[derive(Clone, Debug)]
enum Finding {
    Report(u64, u64, Vec<u64>, u64),
    Clearance(u64, u64, u64),
}

fn finding() -> impl Strategy<Value = Finding> {
    prop_oneof![
        3 => (0_u64..6, 1_u64..4, prop::collection::vec(1_u64..6, 1..4), 0_u64..30_000)
            .prop_map(|(endpoint, scope, parts, age_ms)| Finding::Report(endpoint, scope, parts, age_ms)),
        1 => (1_u64..4, 1_u64..6, 0_u64..30_000)
            .prop_map(|(scope, part, age_ms)| Finding::Clearance(scope, part, age_ms)),
    ]
}

fn merge(known: &mut CrashingParts, finding: &Finding, now_ms: u64) {
    match finding.clone() {
        Finding::Report(endpoint, scope, parts, age_ms) => {
            let report = CrashReport {
                endpoint: Incarnation(endpoint),
                scope: organisation(scope),
                parts: parts.into_iter().map(PartKey).collect(),
                age_ms,
            };
            known.merge(&[report], &[], now_ms);
        }
        Finding::Clearance(scope, part, age_ms) => {
            let clearance = Clearance {
                scope: organisation(scope),
                part: PartKey(part),
                age_ms,
            };
            known.merge(&[], &[clearance], now_ms);
        }
    }
}

proptest! {
    /// Guards against VMs that judge a prompt differently because messages arrived in another order, or twice.
    #[test]
    fn any_order(findings in prop::collection::vec(finding(), 1..40), seed in any::<u64>()) {
        let now_ms = BEGIN_MS;
        let mut first = CrashingParts::new();
        for finding in &findings {
            merge(&mut first, finding, now_ms);
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut shuffled = [findings.clone(), findings].concat();
        shuffled.shuffle(&mut random);
        let mut second = CrashingParts::new();
        for finding in &shuffled {
            merge(&mut second, finding, now_ms);
        }
        for scope in 1..5 {
            for part in 1..6 {
                for other in 1..6 {
                    let parts = [PartKey(part), PartKey(other)];
                    let scope = organisation(scope);
                    prop_assert_eq!(first.judge(scope, &parts, now_ms), second.judge(scope, &parts, now_ms));
                }
            }
        }
    }
}
