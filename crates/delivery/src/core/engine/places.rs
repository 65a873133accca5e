//! The engine's view of endpoints and destinations: the list, what operators hold out, which destinations are in
//! use, and what is kept of those that are not.

use super::{Engine, Host, Input, Order};
use crate::core::directory::Directory;
use crate::core::snapshot::Record;
use crate::core::Stamp;
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Destinations that one step folds at most.
const COOLED_AT_ONCE: usize = 16;

impl Engine {
    /// Takes what is news of the list, which goes first: nothing queued behind it may go to a host that drains. The other
    /// inputs are given back.
    pub(super) fn take_news(
        &mut self,
        now: Stamp,
        inputs: Vec<Input>,
        events: &mut Vec<m::Event>,
        orders: &mut Vec<Order>,
    ) -> Vec<Input> {
        let is_news = |input: &Input| {
            matches!(input, Input::Listed(_) | Input::Changed(_) | Input::Directory(_) | Input::HeldOut(_))
        };
        let (news, rest): (Vec<_>, Vec<_>) = inputs.into_iter().partition(is_news);
        for input in news {
            match input {
                Input::Listed(hosts) => {
                    let entries = self.listed(hosts, true, orders);
                    events.push(m::Event::Listed(entries));
                }
                Input::Changed(hosts) => {
                    let entries = self.listed(hosts, false, orders);
                    events.push(m::Event::Changed(entries));
                }
                Input::Directory(directory) => self.redirect(now, directory, events, orders),
                Input::HeldOut(names) => {
                    let entries = self.hold_out(names, orders);
                    if !entries.is_empty() {
                        events.push(m::Event::Changed(entries));
                    }
                }
                _ => {}
            }
        }
        rest
    }

    pub(super) fn host(&mut self, name: &str) -> m::EndpointId {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let id = m::EndpointId(self.next_host);
        self.next_host += 1;
        self.names.insert(name.to_owned(), id);
        self.hosts.insert(id, name.to_owned());
        id
    }

    /// Takes up another directory: what changes of destinations in use is news of the list.
    pub(super) fn redirect(
        &mut self,
        now: Stamp,
        directory: Arc<Directory>,
        events: &mut Vec<m::Event>,
        orders: &mut Vec<Order>,
    ) {
        let old = self.directory.replace(directory.clone());
        let warm: Vec<_> = self.warmth.warm().collect();
        for id in warm {
            let mut hosts = directory.hosts(id);
            let was = old.as_ref().map_or_else(Vec::new, |old| old.hosts(id));
            if hosts == was {
                continue;
            }
            let gone = was.into_iter().filter(|was| !hosts.iter().any(|host| host.name == was.name));
            let gone: Vec<_> = gone.map(|host| Host { listing: m::Listing::Gone, ..host }).collect();
            hosts.extend(gone);
            let listed = !hosts.iter().all(|host| host.listing == m::Listing::Gone);
            let entries = self.listed(hosts, false, orders);
            events.push(m::Event::Changed(entries));
            if !listed {
                self.destinations.remove(&id);
            }
        }
        // What an earlier life took on waits for this.
        let open = self.ledger.entries().values().filter(|entry| entry.end.is_none());
        let open: BTreeSet<_> = open.map(|entry| entry.authorisation.destination).collect();
        for id in open {
            self.use_of(now, id, events, orders);
        }
    }

    /// Makes a destination known to the module if it is not, with what is kept of it, and notes its use.
    pub(super) fn use_of(
        &mut self,
        now: Stamp,
        id: m::DestinationId,
        events: &mut Vec<m::Event>,
        orders: &mut Vec<Order>,
    ) {
        let Some(directory) = self.directory.as_ref().filter(|directory| directory.entry(id).is_some())
        else {
            return;
        };
        let directory = directory.clone();
        if self.warmth.touch(now.mono, id) {
            let entries = self.listed(directory.hosts(id), false, orders);
            events.push(m::Event::Changed(entries));
            events.extend(self.warmth.recall(id).map(|cold| m::Event::Recalled(id, None, cold)));
        }
    }

    /// Folds destinations that have been idle for long, a few with each step.
    pub(super) fn cool(&mut self, now: Stamp, orders: &mut Vec<Order>) {
        for _ in 0..COOLED_AT_ONCE {
            let Some(id) = self.warmth.idle(now.mono) else { return };
            let Some((hosts, cold)) = self.module.fold(now.mono, id) else {
                self.warmth.stay(now.mono, id);
                continue;
            };
            self.warmth.cool(id, cold);
            self.destinations.remove(&id);
            for host in hosts {
                if let Some(name) = self.hosts.remove(&host) {
                    self.names.remove(&name);
                }
                self.listing.remove(&host);
                orders.push(Order::HostGone(host));
            }
        }
    }

    /// How the destinations stand of which something is known, for a record that outlasts the process. Nothing where
    /// there is no directory.
    pub fn records(&self, now: Stamp) -> Vec<Record> {
        let unix = |at: m::Time| now.unix_ms + (at - now.mono).0.div_euclid(1000);
        let warm = self.warmth.warm().filter_map(|id| {
            let standing = self.module.standing(now.mono, id)?;
            Some(Record {
                destination: id.0,
                out_since_ms: standing.out_since.map(unix),
                back_since_ms: standing.back_since.map(unix),
                wait_until_ms: standing.wait_until.map(unix),
                mean_ms: standing.mean_ms.map(|mean| mean as f32),
                // Coarse: it moves with every delivery, and each change is written to disk.
                usual: (standing.usual as f32 * 4.0).round() / 4.0,
                held: standing.held as u32,
                out: standing.out as u32,
                warm: true,
            })
        });
        let cold = self.warmth.cold().map(|(id, cold)| Record {
            destination: id.0,
            out_since_ms: cold.out_since.map(unix),
            back_since_ms: cold.back_since.map(unix),
            wait_until_ms: cold.wait_until.filter(|until| *until > now.mono).map(unix),
            mean_ms: cold.mean_ms.map(|mean| mean as f32),
            usual: cold.usual as f32,
            ..Record::default()
        });
        let mut records: Vec<Record> = warm.chain(cold).collect();
        records.sort_unstable_by_key(|record| record.destination);
        records
    }

    /// Takes up what an earlier life knew of destinations. A restart ends a told wait; an outage that was seen is
    /// remembered. A clock that was set back makes nothing later than now.
    pub fn remember(&mut self, now: Stamp, records: &[Record]) {
        let past = |ms: i64| now.mono_of(ms.min(now.unix_ms));
        for record in records {
            let cold = m::Cold {
                wait_until: None,
                out_since: record.out_since_ms.map(past),
                back_since: record.back_since_ms.map(past),
                mean_ms: record.mean_ms.map(f64::from).filter(|mean| mean.is_finite() && *mean > 0.0),
                usual: Some(f64::from(record.usual))
                    .filter(|usual| usual.is_finite())
                    .unwrap_or(0.0)
                    .max(0.0),
            };
            self.warmth.keep(record.id(), cold);
        }
    }

    /// Whether a destination could be served now or, as far as is known, later.
    pub(super) fn is_listed(&self, id: m::DestinationId) -> bool {
        let listed = |directory: &Arc<Directory>| directory.places(id).next().is_some();
        self.destinations.contains(&id) || self.directory.as_ref().is_some_and(listed)
    }

    /// Takes up which hosts operators keep out, and tells the module anew of those that it changes.
    pub(super) fn hold_out(&mut self, names: BTreeSet<String>, orders: &mut Vec<Order>) -> Vec<m::Entry> {
        let changed: Vec<String> = names.symmetric_difference(&self.held_out).cloned().collect();
        self.held_out = names;
        let listed = changed.iter().filter_map(|name| self.names.get(name));
        let hosts: Vec<Host> = listed.filter_map(|id| self.listing.get(id).cloned()).collect();
        self.listed(hosts, false, orders)
    }

    pub(super) fn listed(&mut self, hosts: Vec<Host>, whole: bool, orders: &mut Vec<Order>) -> Vec<m::Entry> {
        let mut entries = Vec::new();
        for mut host in hosts {
            let endpoint = self.host(&host.name);
            self.destinations.insert(host.destination);
            match host.listing {
                m::Listing::Gone => drop(self.listing.remove(&endpoint)),
                _ => drop(self.listing.insert(endpoint, host.clone())),
            }
            if host.listing == m::Listing::On && self.held_out.contains(&host.name) {
                host.listing = m::Listing::Draining;
            }
            entries.push(m::Entry {
                endpoint,
                destination: host.destination,
                kind: host.kind,
                zone: host.zone,
                listing: host.listing,
                share: host.share,
                weight: host.weight,
            });
            orders.push(Order::Host(endpoint, host));
        }
        let listed = |entry: &&m::Entry| entry.listing != m::Listing::Gone;
        let kept: BTreeSet<_> = entries.iter().filter(listed).map(|entry| entry.endpoint).collect();
        let gone: Vec<_> = match whole {
            true => self.hosts.keys().copied().filter(|id| !kept.contains(id)).collect(),
            false => entries.iter().filter(|entry| !listed(entry)).map(|entry| entry.endpoint).collect(),
        };
        // Hosts come under new names for as long as the process runs: what is gone must leave nothing behind.
        for id in gone {
            if let Some(name) = self.hosts.remove(&id) {
                self.names.remove(&name);
            }
            self.listing.remove(&id);
            orders.push(Order::HostGone(id));
        }
        entries
    }
}
