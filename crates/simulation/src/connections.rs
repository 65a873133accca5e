//! Connections between instances and endpoints.
//!
//! Instances reuse the connection that became idle last, and retire idle connections before the idle timeout in their
//! settings. Endpoints limit the number of open connections, and may close idle connections without notice.

use crate::destination::ConnectionPolicy;
use marblefall_scheduler::{Span, Time};
use std::collections::HashMap;

/// Share of the idle timeout in the settings after which an instance retires an idle connection.
const RETIREMENT_SHARE: f64 = 0.85;

/// Result of acquiring a connection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// The attempt uses an idle connection that is still open.
    Reused,
    /// The attempt uses an idle connection that its endpoint has closed, and therefore fails.
    Stale,
    /// The attempt uses a new connection.
    New,
    /// The attempt has no connection, because the endpoint accepts no further one.
    LimitReached,
}

/// State of a connection after its attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The connection stays open and idle, because the response was received completely.
    Reusable,
    /// The connection is closed.
    Closed,
}

/// The connections of all instances.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Time at which each idle connection became idle, oldest first, by instance and endpoint.
    idle: HashMap<(usize, u32), Vec<Time>>,
    /// Number of connections with an attempt in flight, by endpoint.
    in_use: HashMap<u32, usize>,
    /// Idle timeout in the settings of the instances.
    idle_timeout: Span,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(idle_timeout: Span) -> ConnectionPool {
        ConnectionPool {
            idle_timeout,
            ..ConnectionPool::default()
        }
    }

    /// Reuses or opens a connection for an attempt. The caller must release the connection after [`Acquired::Reused`] and
    /// [`Acquired::New`], but not after the other results.
    pub fn acquire(
        &mut self,
        now: Time,
        instance: usize,
        endpoint: u32,
        policy: &ConnectionPolicy,
    ) -> Acquired {
        let retired_after = Span((self.idle_timeout.0 as f64 * RETIREMENT_SHARE) as i64);
        let idle = self.idle.entry((instance, endpoint)).or_default();
        idle.retain(|since| now - *since < retired_after);
        let acquired = match idle.pop() {
            Some(since) if is_open(policy, now, since) => Acquired::Reused,
            Some(_) => return Acquired::Stale,
            None => {
                let open = self.open_count(now, endpoint, policy);
                if policy.max_open.is_some_and(|max| open >= max) {
                    return Acquired::LimitReached;
                }
                Acquired::New
            }
        };
        *self.in_use.entry(endpoint).or_default() += 1;
        acquired
    }

    /// Returns the number of connections that an endpoint holds open, including idle ones.
    fn open_count(&self, now: Time, endpoint: u32, policy: &ConnectionPolicy) -> usize {
        let to_endpoint = self.idle.iter().filter(|((_, to), _)| *to == endpoint);
        let idle = to_endpoint
            .flat_map(|(_, idle)| idle)
            .filter(|since| is_open(policy, now, **since))
            .count();
        idle + self.in_use(endpoint)
    }

    /// Returns the number of connections to an endpoint that have an attempt in flight.
    pub fn in_use(&self, endpoint: u32) -> usize {
        self.in_use.get(&endpoint).copied().unwrap_or(0)
    }

    /// Returns the connection of an attempt that ended to the pool.
    pub fn release(&mut self, now: Time, instance: usize, endpoint: u32, release: Release) {
        if let Some(in_use) = self.in_use.get_mut(&endpoint) {
            *in_use = in_use.saturating_sub(1);
        }
        if release == Release::Reusable {
            self.idle.entry((instance, endpoint)).or_default().push(now);
        }
    }

    /// Closes an instance's idle connections to an endpoint.
    pub fn close_idle(&mut self, instance: usize, endpoint: u32) {
        self.idle.remove(&(instance, endpoint));
    }

    /// Closes all idle connections of an instance that crashed. The caller releases its connections in use separately.
    pub fn remove_instance(&mut self, instance: usize) {
        self.idle.retain(|(owner, _), _| *owner != instance);
    }
}

fn is_open(policy: &ConnectionPolicy, now: Time, idle_since: Time) -> bool {
    policy
        .idle_close
        .is_none_or(|after| now - idle_since < after)
}
