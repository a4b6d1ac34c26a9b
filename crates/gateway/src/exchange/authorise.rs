//! Checks whether the configuration in force allows a request: when it arrives, and again when it is sent.

use hyper::header::HOST;
use hyper::http::request::Parts;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::endpoints::UrgencyLevel;

use crate::adapter::RequestInfo;
use crate::exchange::Exchange;
use crate::exchange::UNREADY_RETRY_AFTER_MS;
use crate::gateway::Gateway;
use crate::trace::Trace;

/// Time without a confirmed configuration after which a missing route or key may be a new one, in milliseconds.
const CONFIGURATION_STALE_MS: u64 = 4_000;

/// What a configuration says of a request.
pub(super) struct Admission {
    pub(super) route: Route,
    pub(super) organisation: Option<Name>,
    pub(super) level: UrgencyLevel,
}

/// Finds the route and the caller's organisation.
pub(super) fn authorise(
    gateway: &Gateway,
    configuration: Option<&Configuration>,
    head: &Parts,
    request_info: &RequestInfo,
    trace: &mut Trace,
) -> Result<Admission, Refusal> {
    let unready =
        |message: &str| Refusal::not_run(Reason::NoSettings, UNREADY_RETRY_AFTER_MS, message);
    let configuration = configuration.ok_or_else(|| unready("this VM has no configuration yet"))?;
    if !gateway.relies_on_configuration() {
        return Err(unready(
            "this VM has just started and does not know yet whether its configuration is the newest",
        ));
    }
    if gateway.is_overtaken() {
        return Err(unready(
            "another VM has a newer configuration, which this VM should have by now",
        ));
    }
    // A route or key that is missing here may be part of a newer version that has not arrived yet.
    let is_stale = || {
        gateway.configuration_age_ms() > CONFIGURATION_STALE_MS
            || gateway.peer_with_newer_configuration().is_some()
    };
    let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or("");
    let Some(route) = configuration.find_route(host, head.uri.path()) else {
        if is_stale() {
            return Err(unready(
                "the route is not known to this VM, whose configuration is old",
            ));
        }
        let message = format!("no route for host `{host}` and this path");
        return Err(Refusal::not_run(Reason::UnknownRoute, 0, message));
    };
    trace.set_route(&route.name, route.kind);
    let organisation = request_info
        .key
        .as_deref()
        .and_then(|key| configuration.organisation_by_key(key));
    if organisation.is_none() && configuration.needs_keys() && !route.is_public {
        if is_stale() {
            return Err(unready(
                "the API key is not known to this VM, whose configuration is old",
            ));
        }
        let message = "the API key is missing or unknown";
        return Err(Refusal::not_run(Reason::Unauthorised, 0, message));
    }
    let rank = organisation.and_then(|organisation| organisation.priority);
    Ok(Admission {
        organisation: organisation.map(|organisation| organisation.name.clone()),
        level: UrgencyLevel::new(rank, route.priority),
        route: route.clone(),
    })
}

impl Exchange {
    /// Checks a request that is about to be sent, by a configuration that came into force after it was admitted; returns
    /// whether it may be sent to an endpoint of the service that was chosen.
    ///
    /// A request that may have run is finished by the configuration that it began with.
    pub(super) fn readmit(&mut self) -> bool {
        let gateway = self.gateway.clone();
        let Some(configuration) = gateway.configuration() else {
            return true;
        };
        let is_newer = configuration.version() > self.configuration_version;
        if self.progress.execution != Execution::NotRun || !(is_newer || gateway.is_overtaken()) {
            return true;
        }
        self.configuration_version = configuration.version();
        self.trace.set_configuration(configuration.version());
        let authorised = authorise(
            &gateway,
            Some(configuration.as_ref()),
            &self.head,
            &self.request_info,
            &mut self.trace,
        );
        let Admission {
            route,
            organisation,
            level,
        } = match authorised {
            Ok(admission) => admission,
            Err(refusal) => {
                self.disallowed = Some(refusal);
                return false;
            }
        };
        self.trace.set_caller(organisation.as_ref(), level);
        let keeps_service = route
            .targets
            .iter()
            .any(|target| target.service == self.service);
        let draw = (gateway.draw() >> 32) as u32;
        let picked = route.pick_service(draw).filter(|_| !keeps_service);
        let service = picked.unwrap_or(&self.service).clone();
        self.route = route;
        self.organisation = organisation;
        self.level = level;
        self.use_service(&configuration, service);
        keeps_service
    }

    /// Lets the request run at a service of its route.
    pub(super) fn use_service(&mut self, configuration: &Configuration, service: Name) {
        let known = configuration.service(&service);
        self.memory_tokens = known.and_then(|service| service.memory_tokens);
        self.can_fetch = known.is_some_and(|service| service.can_fetch);
        self.lane = configuration.lane(&service, &self.route);
        self.service = service;
    }
}
