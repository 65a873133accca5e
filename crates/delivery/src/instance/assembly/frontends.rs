//! Starts the frontends of an instance and the tasks that each of them needs.

use super::Assembly;
use crate::frontend::platform;
use crate::frontend::SwappableFrontend;
use crate::instance::{CloudEventsFrontendConfig, InstanceError, PlatformFrontendConfig};
use crate::log_line;
use crate::net::discovery::{
    deliver_notices, watch_endpoints, DiscoveryEndpoint, PendingNotice, PollSchedule,
};
use crate::net::frontend::Frontend;
use crate::net::server::{self, ReadTimeout, Server};
use crate::net::{admin as admin_calls, listener};
use async_channel::Receiver;
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Time-out for receiving a request from a client of the platform, which is nearby.
const PLATFORM_READ_TIMEOUT: ReadTimeout = ReadTimeout(Duration::from_millis(2500));
/// Time-out for receiving a request from a client that sends events, which may be far away.
const CLOUDEVENTS_READ_TIMEOUT: ReadTimeout = ReadTimeout(Duration::from_secs(10));

/// The configuration of the frontends that are enabled, and what their tasks need.
pub(super) struct Frontends {
    pub(super) platform: Option<PlatformFrontendConfig>,
    pub(super) cloudevents: Option<CloudEventsFrontendConfig>,
    pub(super) admin_listener: Option<TcpListener>,
    /// The schedule for polling discovery.
    pub(super) poll_schedule: PollSchedule,
    /// The notices to be delivered to the platform.
    pub(super) notices: Receiver<PendingNotice>,
}

impl Assembly {
    /// Starts the frontends. The listener for operators' calls is opened after that for the platform's clients.
    pub(super) fn start_frontends(&mut self, frontends: Frontends) -> Result<(), InstanceError> {
        if let Some(platform) = frontends.platform {
            self.start_platform(platform, frontends.poll_schedule, frontends.notices)?;
        }
        self.tasks.spawn(server::evict_idle(self.clients.clone()));
        if let Some(listener) = frontends.admin_listener {
            self.start_admin(listener)?;
        }
        if let Some(cloudevents) = frontends.cloudevents {
            self.start_cloudevents(cloudevents)?;
        }
        Ok(())
    }

    fn start_platform(
        &mut self,
        config: PlatformFrontendConfig,
        schedule: PollSchedule,
        notices: Receiver<PendingNotice>,
    ) -> Result<(), InstanceError> {
        let discovery = self.discovery_endpoint(config.discovery);
        self.tasks.spawn(deliver_notices(
            discovery,
            notices,
            self.senders.queue.clone(),
            platform::encode_notice,
        ));
        if let Some(watch) = config.watch {
            let discovery = self.discovery_endpoint(config.discovery);
            let engine = self.senders.priority.clone();
            self.tasks
                .spawn(watch_endpoints(discovery, watch, schedule, engine));
        }
        let frontend = Rc::new(SwappableFrontend::new(config.frontend));
        self.platform = Some(frontend.clone());
        let Some(listener) = config.listener else {
            return Ok(());
        };
        listen(&listener)?;
        self.prefer_over_predecessors(&listener);
        let listener = open_listener(listener)?;
        log_line!("listens at {}", address_of(listener.get_ref()));
        self.serve(listener, frontend, PLATFORM_READ_TIMEOUT);
        Ok(())
    }

    /// Returns discovery at an address, with a new channel for changes of the address.
    fn discovery_endpoint(&mut self, address: SocketAddr) -> DiscoveryEndpoint {
        let (sender, changes) = async_channel::unbounded();
        self.discovery_changes.push(sender);
        DiscoveryEndpoint { address, changes }
    }

    /// Makes the operating system give new connections to this process rather than to its predecessors.
    fn prefer_over_predecessors(&self, listener: &TcpListener) {
        let Some(predecessors) = self.predecessors else {
            return;
        };
        if let Err(error) = listener::prefer(listener, predecessors.count) {
            log_line!(
                code = "not-preferred",
                "predecessors still receive new connections: {error}"
            );
        }
    }

    fn start_admin(&self, listener: TcpListener) -> Result<(), InstanceError> {
        listen(&listener)?;
        let listener = open_listener(listener)?;
        log_line!("operators call at {}", address_of(listener.get_ref()));
        let handler = self.admin.clone();
        self.tasks
            .spawn(admin_calls::serve(listener, handler, self.tasks.clone()));
        Ok(())
    }

    fn start_cloudevents(&self, config: CloudEventsFrontendConfig) -> Result<(), InstanceError> {
        self.cloudevents.set(config.frontend);
        let Some(listener) = config.listener else {
            return Ok(());
        };
        listen(&listener)?;
        let listener = open_listener(listener)?;
        log_line!("takes events at {}", address_of(listener.get_ref()));
        self.serve(listener, self.cloudevents.clone(), CLOUDEVENTS_READ_TIMEOUT);
        Ok(())
    }

    fn serve<F: Frontend + 'static>(
        &self,
        listener: Async<TcpListener>,
        frontend: Rc<F>,
        read_timeout: ReadTimeout,
    ) {
        let server = Server {
            frontend,
            clients: self.clients.clone(),
            read_timeout,
            clock: self.clock,
            tasks: self.tasks.clone(),
        };
        self.tasks.spawn(server.serve(listener));
    }
}

/// Starts to listen. It is called only once the instance can serve, so that connections are refused until then.
fn listen(listener: &TcpListener) -> Result<(), InstanceError> {
    listener::listen(listener).map_err(|source| InstanceError::Bind {
        address: address_of(listener),
        source,
    })
}

fn open_listener(listener: TcpListener) -> Result<Async<TcpListener>, InstanceError> {
    Async::new(listener).map_err(InstanceError::Listener)
}

fn address_of(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|error| error.to_string(), |address| address.to_string())
}
