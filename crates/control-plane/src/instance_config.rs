//! Turns an instance's manifest into its configuration: once at its start, and again for each policy that is put in
//! force as it runs.

use crate::endpoint_directory::EndpointDirectory;
use crate::manifest::{destination_number, ClassSpec, IdempotencySpec, InstanceManifest};
use marblefall_delivery::core::engine::{EngineEvent, EngineSettings, PolicyChange};
use marblefall_delivery::frontend::cloudevents::{CloudEventsFrontend, Destinations, EventClass};
use marblefall_delivery::frontend::platform::PlatformFrontend;
use marblefall_delivery::instance::{
    CloudEventsFrontendConfig, InstanceConfig, LeaseConfig, PlatformFrontendConfig, PolicyUpdate,
    StateFolder,
};
use marblefall_scheduler as m;
use std::cell::RefCell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// Bytes in a megabyte of the manifest's.
const BYTES_PER_MB: f64 = 1e6;
/// Batches of the scheduler are at least so far apart.
const MIN_BATCH_INTERVAL_MS: u64 = 5;
/// The part of its rate that a destination bears when it recovers, how long it takes to the whole, and when it counts as
/// overloaded on the way: as the service's rules have it.
const RAMP_START: f64 = 0.27;
const RAMP_DURATION_MS: u64 = 10_000;
const OVERLOAD_FACTOR: f64 = 1.5;
const OVERLOAD_WINDOW_MS: u64 = 2000;

/// Classes in the order of their ids at an instance. One that the manifest no longer names keeps its id, so that what is
/// pending stays of its class for as long as the instance runs.
#[derive(Clone, Debug, Default)]
pub struct ClassTable(Vec<(String, ClassSpec)>);

impl ClassTable {
    /// Adds the manifest's new classes, and changes those that are known.
    pub fn update(&mut self, manifest: &InstanceManifest) {
        for (name, class) in &manifest.classes {
            match self.0.iter_mut().find(|(known, _)| known == name) {
                Some((_, known)) => *known = class.clone(),
                None => self.0.push((name.clone(), class.clone())),
            }
        }
    }

    fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    fn classes(&self) -> impl Iterator<Item = &ClassSpec> {
        self.0.iter().map(|(_, class)| class)
    }

    fn id(&self, name: &str) -> Option<m::ClassId> {
        self.0
            .iter()
            .position(|(known, _)| known == name)
            .map(m::ClassId)
    }
}

/// The listeners of one instance that is started.
pub struct InstanceListeners {
    /// The events frontend's, if that is on.
    pub events: Option<TcpListener>,
    /// The platform frontend's, if that is on.
    pub platform: Option<TcpListener>,
}

/// Builds an instance's configuration.
#[derive(Clone, Copy)]
pub struct InstanceConfigBuilder<'a> {
    /// What the instance runs by.
    pub manifest: &'a InstanceManifest,
    /// The classes that it knows.
    pub classes: &'a ClassTable,
    /// Where messages go.
    pub directory: &'a EndpointDirectory,
}

impl InstanceConfigBuilder<'_> {
    /// The whole configuration, for its start. `lease` is what it may act under and the revision that this is of, in a
    /// group.
    pub fn config(
        self,
        folder: PathBuf,
        lease: Option<LeaseConfig>,
        listeners: InstanceListeners,
    ) -> InstanceConfig {
        let limits = &self.manifest.limits;
        let destination_table = self.directory.destination_table.clone();
        InstanceConfig {
            name: self.manifest.name.clone(),
            state_folder: StateFolder {
                path: folder,
                max_bytes: (limits.disk_mb * BYTES_PER_MB) as u64,
            },
            max_sockets: limits.max_sockets,
            engine: self.engine_settings(),
            class_names: self.classes.names(),
            connect_timeout: Duration::from_millis(limits.connect_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            endpoints: EngineEvent::DestinationTableReplaced(destination_table),
            platform: self.platform_config(listeners.platform),
            cloudevents: self.events_config(listeners.events),
            admin_listener: None,
            lease,
        }
    }

    /// Another policy, for an instance that runs.
    pub fn policy_update(self, revision: u64) -> PolicyUpdate {
        PolicyUpdate {
            change: PolicyChange {
                revision,
                settings: self.engine_settings(),
                classes: self.classes.names(),
                destination_table: Some(self.directory.destination_table.clone()),
            },
            platform: self.platform_frontend(),
            cloudevents: self.events_frontend(),
        }
    }

    fn platform_config(self, listener: Option<TcpListener>) -> Option<PlatformFrontendConfig> {
        Some(PlatformFrontendConfig {
            listener: listener?,
            frontend: self.platform_frontend()?,
            discovery: self.manifest.platform.as_ref()?.notice_address,
            watch: None,
        })
    }

    fn events_config(self, listener: Option<TcpListener>) -> Option<CloudEventsFrontendConfig> {
        Some(CloudEventsFrontendConfig {
            listener: listener?,
            frontend: self.events_frontend()?,
        })
    }

    fn events_frontend(self) -> Option<CloudEventsFrontend> {
        let spec = self.manifest.events.as_ref()?;
        let types = spec
            .class_by_type
            .iter()
            .filter_map(|(event_type, class)| Some((event_type.clone(), self.classes.id(class)?)));
        let event_class = |class: &ClassSpec| EventClass {
            default_time_to_live_ms: class.deadline_ms as i64,
            requires_key: class.idempotency == IdempotencySpec::IdempotencyKey,
        };
        let EndpointDirectory {
            destination_table,
            targets,
        } = self.directory.clone();
        Some(CloudEventsFrontend {
            path: spec.path.clone(),
            destination_attribute: spec.destination_attribute.clone(),
            class_by_type: types.collect(),
            classes: self.classes.classes().map(event_class).collect(),
            destinations: RefCell::new(Destinations {
                table: destination_table,
                targets,
            }),
            destination_number: Some(destination_number),
        })
    }

    fn platform_frontend(self) -> Option<PlatformFrontend> {
        let spec = self.manifest.platform.as_ref()?;
        let destination = |name: &str| m::DestinationId(destination_number(name));
        let numbers = spec
            .destination_by_number
            .iter()
            .filter_map(|(number, name)| Some((number.parse().ok()?, destination(name))));
        // A class that the manifest no longer names is unknown to clients.
        let accepted_name = |name: String| match self.manifest.classes.contains_key(&name) {
            true => name,
            false => String::new(),
        };
        let is_keyed = |class: &ClassSpec| class.idempotency == IdempotencySpec::IdempotencyKey;
        Some(PlatformFrontend {
            class_names: self
                .classes
                .names()
                .into_iter()
                .map(accepted_name)
                .collect(),
            requires_key: self.classes.classes().map(is_keyed).collect(),
            destinations_by_number: Some(numbers.collect()),
        })
    }

    fn engine_settings(self) -> EngineSettings {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let retention_ms = |class: &ClassSpec| class.remember_s as i64 * 1000;
        EngineSettings {
            scheduler: self.scheduler_settings(),
            seed: since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos() as u64),
            retention_ms: self.classes.classes().map(retention_ms).collect(),
            max_retained: self.manifest.limits.max_remembered,
        }
    }

    fn scheduler_settings(self) -> m::Settings {
        m::Settings {
            classes: self.classes.classes().map(message_class).collect(),
            kinds: vec![m::DestinationKind {
                separate_routes: false,
                max_batch: 1,
            }],
            zone_fees: vec![0.0],
            value_decay: m::ValueDecay::Linear,
            limits: self.scheduler_limits(),
            rules: m::Rules {
                ramp_start: RAMP_START,
                ramp_duration: span(RAMP_DURATION_MS),
                overload_factor: OVERLOAD_FACTOR,
                overload_window: span(OVERLOAD_WINDOW_MS),
                ..m::Rules::default()
            },
            rate_hints: m::RateHints::Approximate,
            instances: self.manifest.total_instances,
            min_batch_interval: span(MIN_BATCH_INTERVAL_MS),
            ..m::Settings::default()
        }
    }

    fn scheduler_limits(self) -> m::Limits {
        let limits = &self.manifest.limits;
        m::Limits {
            max_in_flight: limits.max_in_flight,
            max_open_messages: limits.max_open,
            max_attempts: limits.max_attempts,
            streams_per_connection: 1,
            idle_timeout: span(limits.idle_timeout_ms),
            max_retry_after: span(limits.max_retry_after_ms),
            cancellation_allowed: true,
            health_checks_allowed: false,
        }
    }
}

fn message_class(class: &ClassSpec) -> m::MessageClass {
    m::MessageClass {
        priority_weight: class.priority_weight,
        latency_objective: span(class.latency_objective_ms),
        deadline: span(class.deadline_ms),
        late_value: class.late_value,
        idempotency: match class.idempotency {
            IdempotencySpec::Idempotent => m::Idempotency::Idempotent,
            IdempotencySpec::NonIdempotent => m::Idempotency::NonIdempotent,
            IdempotencySpec::IdempotencyKey => m::Idempotency::IdempotencyKey {
                scope: m::DeduplicationScope::All,
                window: span(class.deduplication_window_ms.unwrap_or_default()),
            },
        },
        ordered: false,
    }
}

fn span(ms: u64) -> m::Span {
    m::Span::from_ms(ms as f64)
}
