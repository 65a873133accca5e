//! Starts the instance that the platform configures.

use super::platform_config::{ConfigError, PlatformConfig};
use super::{
    instance_span, register_signals, run_instance, watch_signals, InstanceCommand, InstanceConfig,
    InstanceError, MemoryLimit, PlatformFrontendConfig, StateFolder,
};
use crate::core::engine::{EngineEvent, EngineSettings};
use crate::frontend::platform::{PlatformClass, PlatformFrontend};
use crate::log_line;
use crate::net::discovery::{EndpointList, ListWatch, NameIndex};
use crate::net::listener;
use crate::net::spawner::Spawner;
use crate::system_error::is_transient;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use error_reporter::Report;
use futures_lite::future;
use marblefall_scheduler::{Idempotency, MessageClass};
use marblefall_settings::InstanceSettings;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time-out for connecting if the platform sets none, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1500.0;
/// Time-out of idle connections if the platform sets none, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 10_000.0;
/// Maximum time for which an operation at the start is retried during a shortage of file descriptors or memory.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay before an operation is retried during a shortage.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Memory of a process of the program, without what peers send, in bytes.
const PROGRAM_BYTES: u64 = 10_000_000;
/// Number of processes that run while one takes over from another.
const PROCESSES_OF_REPLACEMENT: u64 = 2;
const BYTES_PER_MB: f64 = 1e6;
const MS_PER_SECOND: f64 = 1000.0;
/// Radix of the seed's digits.
const SEED_RADIX: u32 = 16;

/// Runs an instance on the platform until it is shut down.
///
/// # Errors
/// The configuration, the state folder or a listener cannot be used.
pub fn run_on_platform() -> Result<(), InstanceError> {
    let signals = register_signals()?;
    let config = read_config()?;
    let config = instance_config(config)?;
    let (signal_sender, signal_commands) = async_channel::unbounded();
    let (command_sender, commands) = async_channel::unbounded();
    let _span = instance_span(&config.name).entered();
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Spawner::new(&executor);
    tasks.spawn(watch_signals(signals, signal_sender));
    tasks.spawn(reload_configuration(signal_commands, command_sender));
    async_io::block_on(executor.run(run_instance(config, commands, tasks)))
}

/// Reads the configuration. Retries while the system is short of file descriptors or memory.
fn read_config() -> Result<PlatformConfig, ConfigError> {
    let deadline = Instant::now() + SHORTAGE_TIMEOUT;
    loop {
        match PlatformConfig::from_env() {
            Err(error) if error.is_transient() && Instant::now() < deadline => {
                log_line!(code = "configuration-fails", "{error}; retrying");
                std::thread::sleep(SHORTAGE_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn instance_config(config: PlatformConfig) -> Result<InstanceConfig, InstanceError> {
    let listen = parse_address(&config.listen)?;
    let discovery = config.discovery_address()?;
    let settings = config.settings;
    let limits = &settings.limits;
    let connect_timeout = ms_or_default(limits.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS);
    let idle_timeout = ms_or_default(limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS);
    let class_names: Vec<String> = settings
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let watch = list_watch(&settings, config.last_list.as_ref());
    let endpoints = configured_endpoints(config.last_list, &watch.names);
    let engine = engine_settings(settings, &config.seed);
    let frontend = PlatformFrontend {
        classes: platform_classes(&class_names, &engine.scheduler.classes),
        destinations_by_number: None,
    };
    let admin_listener = bind_admin(config.admin_listen.as_deref())?;
    let platform = PlatformFrontendConfig {
        listener: Some(bind_clients(listen)?),
        frontend,
        discovery,
        watch: Some(watch),
    };
    Ok(InstanceConfig {
        name: config.name,
        state_folder: StateFolder {
            path: config.state_folder,
            max_bytes: (config.limits.disk_mb * BYTES_PER_MB) as u64,
        },
        max_sockets: config.limits.sockets,
        memory: MemoryLimit {
            bytes: (config.limits.memory_mb * BYTES_PER_MB) as u64,
            program_bytes: PROGRAM_BYTES,
            file_bytes: (config.limits.disk_mb * BYTES_PER_MB) as u64,
            processes: PROCESSES_OF_REPLACEMENT,
        },
        engine,
        class_names,
        connect_timeout,
        idle_timeout,
        endpoints,
        platform: Some(platform),
        cloudevents: None,
        admin_listener,
        lease: None,
    })
}

/// Returns the watch of the endpoint list. It starts after the revision of the last known list.
fn list_watch(settings: &InstanceSettings, last_list: Option<&EndpointList>) -> ListWatch {
    ListWatch {
        names: NameIndex {
            kinds: settings.kinds.clone(),
            zones: settings.zones.clone(),
        },
        since_revision: last_list.map_or(0, |list| list.revision),
    }
}

/// Returns the event with the endpoints of the last known list.
fn configured_endpoints(last_list: Option<EndpointList>, names: &NameIndex) -> EngineEvent {
    match last_list {
        Some(list) => list.into_event(names),
        None => EngineEvent::EndpointsReplaced(Vec::new()),
    }
}

/// Returns the engine's settings. The platform's messages are not retained once they have finished.
fn engine_settings(settings: InstanceSettings, seed: &str) -> EngineSettings {
    let scheduler = settings.scheduler_settings();
    EngineSettings {
        retention_ms: vec![0; scheduler.classes.len()],
        max_retained: 0,
        scheduler,
        seed: u64::from_str_radix(seed, SEED_RADIX).unwrap_or_default(),
    }
}

fn platform_classes(names: &[String], classes: &[MessageClass]) -> Vec<PlatformClass> {
    names
        .iter()
        .zip(classes)
        .map(|(name, class)| PlatformClass {
            name: Some(name.clone()),
            requires_key: requires_key(class),
        })
        .collect()
}

fn requires_key(class: &MessageClass) -> bool {
    matches!(class.idempotency, Idempotency::IdempotencyKey { .. })
}

fn ms_or_default(ms: f64, default_ms: f64) -> Duration {
    let ms = if ms > 0.0 { ms } else { default_ms };
    Duration::from_secs_f64(ms / MS_PER_SECOND)
}

/// Retries an operation while the system is short of file descriptors or memory, as a process that starts during the
/// shortage would fail otherwise.
fn retry_during_shortage<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + SHORTAGE_TIMEOUT;
    loop {
        match operation() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                log_line!(
                    code = "listener-deferred",
                    "cannot open a listener: {error}; retrying"
                );
                std::thread::sleep(SHORTAGE_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn bind_clients(address: SocketAddr) -> Result<TcpListener, InstanceError> {
    retry_during_shortage(|| listener::bind_shared(address)).map_err(|source| InstanceError::Bind {
        address: address.to_string(),
        source,
    })
}

fn bind_admin(listen: Option<&str>) -> Result<Option<TcpListener>, InstanceError> {
    let Some(text) = listen.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let address = parse_address(text)?;
    let listener = retry_during_shortage(|| listener::bind_exclusive(address));
    listener.map(Some).map_err(|source| InstanceError::Bind {
        address: text.to_owned(),
        source,
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, InstanceError> {
    text.parse().map_err(|source| InstanceError::Address {
        text: text.to_owned(),
        source,
    })
}

/// Forwards commands to the instance. A command to reload the configuration is replaced by one with the new address of
/// discovery. A configuration that cannot be read changes nothing. After a transient error it is read again until that
/// succeeds.
async fn reload_configuration(
    signal_commands: Receiver<InstanceCommand>,
    commands: Sender<InstanceCommand>,
) {
    let mut retry_is_due = false;
    loop {
        let received = if retry_is_due {
            let retry = async {
                Timer::after(SHORTAGE_RETRY_INTERVAL).await;
                Ok(InstanceCommand::ReloadConfig)
            };
            future::or(signal_commands.recv(), retry).await
        } else {
            signal_commands.recv().await
        };
        let Ok(command) = received else { return };
        let command = match command {
            InstanceCommand::ReloadConfig => {
                let reload = reload();
                retry_is_due = matches!(reload, Reload::Retry);
                match reload {
                    Reload::DiscoveryAt(address) => InstanceCommand::DiscoveryMoved(address),
                    Reload::Unchanged | Reload::Retry => continue,
                }
            }
            other => other,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

/// The result of reloading the configuration.
enum Reload {
    /// The configuration was read. Discovery is at this address.
    DiscoveryAt(SocketAddr),
    /// The configuration cannot be used, so nothing changes.
    Unchanged,
    /// The configuration cannot be read because of a transient error.
    Retry,
}

fn reload() -> Reload {
    let error = match PlatformConfig::from_env().and_then(|config| config.discovery_address()) {
        Ok(address) => {
            log_line!("configuration reloaded: discovery is at {address}");
            return Reload::DiscoveryAt(address);
        }
        Err(error) => error,
    };
    let cause = Report::new(&error);
    if error.is_transient() {
        log_line!(code = "configuration-fails", "{cause}; retrying");
        return Reload::Retry;
    }
    log_line!("configuration kept as it was, {cause}");
    Reload::Unchanged
}
