//! Rate limits that endpoints state in their responses, and the order of reports that cross on the way.

/// Lowest rate at which requests are still sent, in requests per second; only an answer can lift a limit.
pub const RATE_MIN_PER_S: f64 = 0.1;

/// Rate of requests that an endpoint takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The endpoint states no limit.
    #[default]
    Unlimited,
    /// Requests per second; finite and not negative.
    PerSecond(f64),
}

impl RateLimit {
    /// Returns the stricter of two limits.
    pub fn min(self, other: Self) -> Self {
        match (self, other) {
            (Self::PerSecond(rate), Self::PerSecond(other)) => Self::PerSecond(rate.min(other)),
            (Self::Unlimited, limit) | (limit, Self::Unlimited) => limit,
        }
    }

    /// Returns the rate at which requests may be sent, in requests per second; `None` without a limit.
    pub fn rate_per_s(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate.max(RATE_MIN_PER_S)),
        }
    }
}

/// The limit that an endpoint stated in a response, or that it stated none.
///
/// The endpoint decided on it at an unknown time between `sent_ms` and `received_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// The limit.
    pub limit: RateLimit,
    /// Time at which the request was sent, in milliseconds.
    pub sent_ms: u64,
    /// Time at which the head of the response arrived, in milliseconds.
    pub received_ms: u64,
}

impl LimitReport {
    /// Returns the report that holds after both are known.
    ///
    /// Responses on different connections overtake each other. A report whose request was sent after the other's
    /// response arrived is newer; if neither is certainly newer, the stricter limit holds.
    pub fn merge(self, other: Self) -> Self {
        if self.sent_ms >= other.received_ms {
            return self;
        }
        if other.sent_ms >= self.received_ms {
            return other;
        }
        if self.limit == other.limit {
            return Self {
                limit: self.limit,
                sent_ms: self.sent_ms.max(other.sent_ms),
                received_ms: self.received_ms.max(other.received_ms),
            };
        }
        match self.limit.min(other.limit) == self.limit {
            true => self,
            false => other,
        }
    }
}
