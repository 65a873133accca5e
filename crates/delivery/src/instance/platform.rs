//! The instance that the platform configures.

use super::platform_config::PlatformConfig;
use super::{
    instance_span, run_instance, signals, watch_signals, InstanceCommand, InstanceConfig,
    InstanceError, PlatformFrontendConfig, StateFolder,
};
use crate::core::engine::{EngineEvent, EngineSettings};
use crate::frontend::platform::PlatformFrontend;
use crate::log_line;
use crate::net::discovery::{ListWatch, NameIndex};
use crate::net::listener;
use crate::net::spawner::Spawner;
use crate::system_error::is_transient;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use error_reporter::Report;
use marblefall_scheduler::{Idempotency, MessageClass};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the platform gives no time to establish a connection.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1500.0;
/// Where it gives no time after which endpoints close idle connections.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 10_000.0;

/// How long a shortage of descriptors or memory is waited out at the start ...
const MAX_SHORTAGE: Duration = Duration::from_secs(25);
/// ... and how often it is looked whether it is over.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);

/// Runs an instance on the platform until it is shut down.
///
/// # Errors
/// The configuration, the state folder or a listener cannot be used.
pub fn run_on_platform() -> Result<(), InstanceError> {
    let config = PlatformConfig::from_env()?;
    let signals = signals()?;
    let config = instance_config(config)?;
    let (signal_sender, signalled) = async_channel::unbounded();
    let (command_sender, commands) = async_channel::unbounded();
    let _span = instance_span(&config.name).entered();
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Spawner::new(&executor);
    tasks.spawn(watch_signals(signals, signal_sender));
    tasks.spawn(reload_configuration(signalled, command_sender));
    async_io::block_on(executor.run(run_instance(config, commands, tasks)))
}

fn instance_config(config: PlatformConfig) -> Result<InstanceConfig, InstanceError> {
    let listen = parse_address(&config.listen)?;
    let discovery = config.discovery_address()?;
    let boot = config.settings;
    let names = NameIndex {
        kinds: boot.kinds.clone(),
        zones: boot.zones.clone(),
    };
    let class_names: Vec<String> = boot
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let since_revision = config.last_list.as_ref().map_or(0, |list| list.revision);
    let endpoints = match config.last_list {
        Some(list) => list.into_event(&names),
        None => EngineEvent::EndpointsReplaced(Vec::new()),
    };
    let connect_timeout = ms_or_default(boot.limits.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS);
    let idle_timeout = ms_or_default(boot.limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS);
    let settings = boot.scheduler_settings();
    let requires_key = settings.classes.iter().map(requires_key).collect();
    let engine = EngineSettings {
        scheduler: settings,
        seed: u64::from_str_radix(&config.seed, 16).unwrap_or_default(),
        retention_ms: vec![0; class_names.len()],
        max_retained: 0,
    };
    let admin_listener = bind_admin(config.admin_listen.as_deref())?;
    let platform = PlatformFrontendConfig {
        listener: bind_clients(listen)?,
        frontend: PlatformFrontend {
            class_names: class_names.clone(),
            requires_key,
            destinations_by_number: None,
        },
        discovery,
        watch: Some(ListWatch {
            names,
            since_revision,
        }),
    };
    Ok(InstanceConfig {
        name: config.name,
        state_folder: StateFolder {
            path: config.state_folder,
            max_bytes: (config.limits.disk_mb * 1e6) as u64,
        },
        max_sockets: config.limits.sockets,
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

fn requires_key(class: &MessageClass) -> bool {
    matches!(class.idempotency, Idempotency::IdempotencyKey { .. })
}

fn ms_or_default(ms: f64, default_ms: f64) -> Duration {
    Duration::from_secs_f64(if ms > 0.0 { ms } else { default_ms } / 1000.0)
}

/// Tries until the system gives what it was short of for a moment: a process that starts just then must not end.
fn while_short<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + MAX_SHORTAGE;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                log_line!(code = "listener-deferred", "{error}; tried again");
                std::thread::sleep(SHORTAGE_PAUSE);
            }
            result => return result,
        }
    }
}

fn bind_clients(address: SocketAddr) -> Result<TcpListener, InstanceError> {
    while_short(|| listener::bind_shared(address)).map_err(|source| InstanceError::Bind {
        address: address.to_string(),
        source,
    })
}

fn bind_admin(listen: Option<&str>) -> Result<Option<TcpListener>, InstanceError> {
    let Some(text) = listen.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let address = parse_address(text)?;
    let listener = while_short(|| TcpListener::bind(address));
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

/// Passes commands on. To read the configuration again is to find where discovery is now. One that cannot be read changes
/// nothing.
async fn reload_configuration(
    signalled: Receiver<InstanceCommand>,
    commands: Sender<InstanceCommand>,
) {
    while let Ok(command) = signalled.recv().await {
        let command = match command {
            InstanceCommand::ReloadConfig => match discovery_moved() {
                Some(moved) => moved,
                None => continue,
            },
            other => other,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

fn discovery_moved() -> Option<InstanceCommand> {
    match PlatformConfig::from_env().and_then(|config| config.discovery_address()) {
        Ok(address) => {
            log_line!("configuration read again: discovery is at {address}");
            Some(InstanceCommand::DiscoveryMoved(address))
        }
        Err(error) => {
            let cause = Report::new(&error);
            log_line!("configuration kept as it was, {cause}");
            None
        }
    }
}
