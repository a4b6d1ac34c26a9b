//! Urgency of requests with different ranks of organisation and route at one engine.

use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::endpoints::UrgencyLevel;

/// Slots of the engine.
const SLOTS: usize = 12;

/// A running request: the urgency level that the engine sees, and the rank of its route.
#[derive(Clone, Copy, Debug)]
struct Running {
    level: UrgencyLevel,
    route_rank: u8,
}

/// An engine that preempts the newest of its least urgent requests, as batch engines do.
#[derive(Default)]
struct Engine {
    running: Vec<Running>,
}

impl Engine {
    /// Starts a request; returns the one that it preempts.
    fn start(&mut self, request: Running) -> Option<Running> {
        let mut victim = None;
        if self.running.len() == SLOTS {
            let least = self.running.iter().map(|running| running.level).max();
            let index = self.running.iter().rposition(|r| Some(r.level) == least);
            let index = index.filter(|index| self.running[*index].level > request.level)?;
            victim = Some(self.running.remove(index));
        }
        self.running.push(request);
        victim
    }
}

/// Guards against preemption of urgent streams while less urgent ones continue (crsg-sortdesk-grown, scale-2, 13.3 s): most
/// organisations have rank 1, which made all routes equal, so requests of rank 0 preempted the newest of them.
#[test]
fn equal_organisations() {
    let mut engine = Engine::default();
    for index in 0..SLOTS {
        let route_rank = if index < SLOTS / 2 { 2 } else { 0 };
        let level = UrgencyLevel::new(Some(1), route_rank);
        engine.start(Running { level, route_rank });
    }
    for _ in 0..SLOTS / 2 {
        let request = Running {
            level: UrgencyLevel::new(Some(0), 2),
            route_rank: 2,
        };
        let victim = engine.start(request).expect("a request is preempted");
        assert_eq!(victim.route_rank, 2, "an urgent stream was preempted");
    }
}

/// The rank of an organisation takes precedence over that of a route.
#[test]
fn organisation_first() {
    for first in 0..2 {
        for (urgent, other) in [(0, 2), (2, 0), (1, 1)] {
            let before = UrgencyLevel::new(Some(first), urgent);
            assert!(before < UrgencyLevel::new(Some(first + 1), other));
        }
    }
}

/// Routes keep their order for callers whose organisation has no rank.
#[test]
fn routes_alone() {
    for rank in 0..2 {
        assert!(UrgencyLevel::new(None, rank) < UrgencyLevel::new(None, rank + 1));
        assert!(UrgencyLevel::new(None, rank) <= UrgencyLevel::new(Some(rank + 1), 0));
    }
}

/// Ranks beyond the range of urgency levels share the last level.
#[test]
fn large_ranks() {
    for (organisation, route) in [(Some(255), 255), (None, 200), (Some(3), 9)] {
        assert_eq!(
            UrgencyLevel::new(organisation, route).index(),
            URGENCY_LEVELS - 1
        );
    }
}
