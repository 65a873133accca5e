//! What an instance is made of according to its share of the file: once at its start, and again for each policy that it
//! takes up as it runs.

use crate::file::{number_of, Class, Fleet, Repeats};
use crate::listing::Listing;
use marblefall_delivery::core::engine::{EngineEvent, EngineSettings, PolicyChange};
use marblefall_delivery::frontend::cloudevents::{CloudEventsFrontend, Destinations, EventClass};
use marblefall_delivery::frontend::platform::PlatformFrontend;
use marblefall_delivery::instance::{
    CloudEventsFrontendConfig, InstanceConfig, LeaseConfig, PlatformFrontendConfig, PolicyUpdate,
    StateFolder,
};
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_scheduler as m;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Classes in the order that an instance knows them by. One that the file no longer names keeps its place, so that what is
/// held stays of its class for as long as the instance runs.
#[derive(Clone, Debug, Default)]
pub struct Classes(Vec<(String, Class)>);

impl Classes {
    /// Takes up what the file says now.
    pub fn follow(&mut self, share: &Fleet) {
        for (name, class) in &share.classes {
            match self.0.iter_mut().find(|(known, _)| known == name) {
                Some(known) => known.1 = class.clone(),
                None => self.0.push((name.clone(), class.clone())),
            }
        }
    }

    fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    fn id(&self, name: &str) -> Option<m::ClassId> {
        self.0
            .iter()
            .position(|(known, _)| known == name)
            .map(m::ClassId)
    }
}

/// What an instance takes up as it runs, and what it cannot.
pub fn in_place(old: &Fleet, new: &Fleet, name: &str) -> bool {
    let fixed = |share: &Fleet| {
        let instance = share.instances.get(name)?;
        let events = instance.events.as_ref().map(|front| front.listen);
        let relay = instance
            .relay
            .as_ref()
            .map(|front| (front.listen, front.notices));
        let limits = &share.limits;
        Some((
            events,
            relay,
            limits.sockets,
            limits.disk_mb.to_bits(),
            limits.dial_ms,
            limits.idle_ms,
        ))
    };
    fixed(old).is_some() && fixed(old) == fixed(new)
}

/// An instance at its start. `held` is what it may act under, where others decide on that as well.
pub fn build(
    state: PathBuf,
    name: &str,
    share: &Fleet,
    classes: &Classes,
    listing: &Listing,
    held: Option<(Arc<LeaseGuard>, u64)>,
    listener: &mut dyn FnMut(&'static str, SocketAddr) -> Result<TcpListener, String>,
) -> Result<InstanceConfig, String> {
    let instance = share.instances.get(name).ok_or("it is not in the fleet")?;
    let limits = &share.limits;
    let events = match (&instance.events, events(name, share, classes, listing)) {
        (Some(front), Some(terms)) => Some(CloudEventsFrontendConfig {
            listener: listener("events", front.listen)?,
            frontend: terms,
        }),
        _ => None,
    };
    let relay = match (&instance.relay, relay(name, share, classes)) {
        (Some(at), Some(front)) => Some(PlatformFrontendConfig {
            listener: listener("relay", at.listen)?,
            frontend: front,
            discovery: at.notices,
            watch: None,
        }),
        _ => None,
    };
    Ok(InstanceConfig {
        name: name.to_owned(),
        state_folder: StateFolder {
            path: state,
            max_bytes: (limits.disk_mb * 1e6) as u64,
        },
        max_sockets: limits.sockets,
        engine: setup(share, classes),
        class_names: classes.names(),
        connect_timeout: Duration::from_millis(limits.dial_ms),
        idle_timeout: Duration::from_millis(limits.idle_ms),
        endpoints: EngineEvent::DestinationTableReplaced(listing.destination_table.clone()),
        platform: relay,
        cloudevents: events,
        admin_listener: None,
        lease: held.map(|(guard, revision)| LeaseConfig { guard, revision }),
    })
}

/// Another policy for an instance that runs.
pub fn switch(
    revision: u64,
    name: &str,
    share: &Fleet,
    classes: &Classes,
    listing: &Listing,
) -> PolicyUpdate {
    let destination_table = Some(listing.destination_table.clone());
    let change = PolicyChange {
        revision,
        settings: setup(share, classes),
        classes: classes.names(),
        destination_table,
    };
    PolicyUpdate {
        change,
        platform: relay(name, share, classes),
        cloudevents: events(name, share, classes, listing),
    }
}

fn events(
    name: &str,
    share: &Fleet,
    classes: &Classes,
    listing: &Listing,
) -> Option<CloudEventsFrontend> {
    let front = share.instances.get(name)?.events.as_ref()?;
    let known = |class: &Class| EventClass {
        default_time_to_live_ms: class.give_up_ms as i64,
        requires_key: class.repeats == Repeats::Keyed,
    };
    let types = front
        .types
        .iter()
        .filter_map(|(kind, class)| Some((kind.clone(), classes.id(class)?)));
    Some(CloudEventsFrontend {
        path: front.path.clone(),
        destination_attribute: front.destination_attribute.clone(),
        class_by_type: types.collect(),
        classes: classes.0.iter().map(|(_, class)| known(class)).collect(),
        destinations: RefCell::new(Destinations {
            table: listing.destination_table.clone(),
            targets: listing.targets.clone(),
        }),
        destination_number: Some(number_of),
    })
}

fn relay(name: &str, share: &Fleet, classes: &Classes) -> Option<PlatformFrontend> {
    let front = share.instances.get(name)?.relay.as_ref()?;
    let number = |name: &str| m::DestinationId(number_of(name));
    let numbers = front
        .numbers
        .iter()
        .filter_map(|(text, name)| Some((text.parse().ok()?, number(name))));
    // A class that the file no longer names is none for whoever hands in.
    let current = |(name, _): &(String, Class)| match share.classes.contains_key(name) {
        true => name.clone(),
        false => String::new(),
    };
    Some(PlatformFrontend {
        class_names: classes.0.iter().map(current).collect(),
        requires_key: classes
            .0
            .iter()
            .map(|(_, class)| class.repeats == Repeats::Keyed)
            .collect(),
        destinations_by_number: Some(numbers.collect()),
    })
}

fn setup(share: &Fleet, classes: &Classes) -> EngineSettings {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    EngineSettings {
        scheduler: settings(share, classes),
        seed: since.map_or(0, |since| since.as_nanos() as u64),
        remember_ms: classes
            .0
            .iter()
            .map(|(_, class)| class.remember_s as i64 * 1000)
            .collect(),
        max_remembered: share.limits.remember,
    }
}

fn settings(share: &Fleet, classes: &Classes) -> m::Settings {
    let limits = &share.limits;
    let span = |ms: u64| m::Span::from_ms(ms as f64);
    let class = |class: &Class| m::MessageClass {
        priority_weight: class.worth,
        latency_objective: span(class.wanted_ms),
        deadline: span(class.give_up_ms),
        late_value: class.late_value,
        idempotency: match class.repeats {
            Repeats::Free => m::Idempotency::Idempotent,
            Repeats::Never => m::Idempotency::NonIdempotent,
            Repeats::Keyed => m::Idempotency::IdempotencyKey {
                scope: m::DeduplicationScope::All,
                window: span(class.window_ms.unwrap_or_default()),
            },
        },
        ordered: false,
    };
    m::Settings {
        classes: classes.0.iter().map(|(_, known)| class(known)).collect(),
        kinds: vec![m::DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        zone_fees: vec![0.0],
        value_decay: m::ValueDecay::Linear,
        limits: m::Limits {
            max_in_flight: limits.slots,
            max_pending: limits.max_open,
            max_attempts: limits.max_attempts,
            streams_per_connection: 1,
            idle_timeout: span(limits.idle_ms),
            max_retry_after: span(limits.retry_after_ms),
            cancellation_allowed: true,
            health_checks_allowed: false,
        },
        // What a returning partner bears, as the service's rules have it.
        rules: m::Rules {
            ramp_start: 0.27,
            ramp_duration: span(10_000),
            overload_factor: 1.5,
            overload_window: span(2000),
            ..m::Rules::default()
        },
        rate_hints: m::RateHints::Approximate,
        instances: share.couriers,
        min_batch_interval: span(5),
        ..m::Settings::default()
    }
}
