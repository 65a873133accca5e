//! Connections between instances and endpoints.
//!
//! Instances reuse the connection that became idle last, and retire idle ones before the idle timeout in their settings.
//! Endpoints limit how many they accept, and may close idle ones without notice.

use crate::destination::ConnectionPolicy;
use marblefall_scheduler::{Span, Time};
use std::collections::HashMap;

/// Instances retire an idle connection after this share of the idle timeout in their settings.
const RETIREMENT_SHARE: f64 = 0.85;

/// Which connection an attempt gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection that is still open.
    Reused,
    /// An idle connection that its endpoint has closed: the attempt fails as it uses it.
    Stale,
    /// A new connection.
    New,
    /// None: the endpoint accepts no further connection.
    LimitReached,
}

/// What happens to a connection when its attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// It stays open and idle: the response was received completely.
    Reusable,
    /// It is closed.
    Closed,
}

/// The connections of all instances.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// By instance and endpoint, since when each idle connection has been idle, oldest first.
    idle: HashMap<(usize, u32), Vec<Time>>,
    /// Connections with an attempt in flight, by endpoint.
    in_use: HashMap<u32, usize>,
    /// The idle timeout in the instances' settings.
    idle_timeout: Span,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(idle_timeout: Span) -> ConnectionPool {
        ConnectionPool {
            idle_timeout,
            ..ConnectionPool::default()
        }
    }

    /// Takes or opens a connection for an attempt. Only [`Acquired::Reused`] and [`Acquired::New`] must be released.
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
                let open = self.open(now, endpoint, policy);
                if policy.max_open.is_some_and(|max| open >= max) {
                    return Acquired::LimitReached;
                }
                Acquired::New
            }
        };
        *self.in_use.entry(endpoint).or_default() += 1;
        acquired
    }

    /// Connections that an endpoint holds open, idle ones included.
    fn open(&self, now: Time, endpoint: u32, policy: &ConnectionPolicy) -> usize {
        let to_endpoint = self.idle.iter().filter(|((_, to), _)| *to == endpoint);
        let idle = to_endpoint
            .flat_map(|(_, idle)| idle)
            .filter(|since| is_open(policy, now, **since))
            .count();
        idle + self.in_use(endpoint)
    }

    /// Connections to an endpoint with an attempt in flight.
    pub fn in_use(&self, endpoint: u32) -> usize {
        self.in_use.get(&endpoint).copied().unwrap_or(0)
    }

    /// Returns the connection of an attempt that ended.
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

    /// Closes all idle connections of an instance that crashed. Those in use are released one by one.
    pub fn remove_instance(&mut self, instance: usize) {
        self.idle.retain(|(owner, _), _| *owner != instance);
    }
}

fn is_open(policy: &ConnectionPolicy, now: Time, idle_since: Time) -> bool {
    policy
        .idle_close
        .is_none_or(|after| now - idle_since < after)
}
