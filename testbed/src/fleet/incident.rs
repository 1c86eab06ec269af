//! Faults of a running fleet by name and time: parses them from the command line, and begins and
//! ends them.

use {
    super::{Daemon, Fleet, daemon::Signal},
    crate::{
        deployment::HOSTS_PER_REGION,
        fault::{Fault, Order},
        platform::Mode,
        wan::Link,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
        io,
        str::FromStr,
        time::Duration,
    },
};

/// Length of an incident that was given without one.
const DEFAULT_DURATION: Duration = Duration::from_secs(5);

/// Tokens that an engine sends before its streams stall or are cut.
const TOKENS_BEFORE_FAULT: u32 = 5;

/// Factor by which engines are slowed in a brown-out.
const SLOW_FACTOR: u32 = 6;

/// Index of the region that incidents apply to.
const TARGET_REGION: usize = 0;

/// A fault with its time and length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    /// The fault.
    pub kind: Kind,
    /// When it begins, from the run's start.
    pub at: Duration,
    /// Time until it ends.
    pub lasts: Duration,
}

/// The faults of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The first host of the first region is killed, and restarted at the end.
    KillHost,
    /// That host is paused, and resumed at the end.
    PauseHost,
    /// That host is drained, and restarted at the end.
    DrainHost,
    /// All hosts are drained and restarted one after the other, as in a rolling update.
    ReplaceHosts,
    /// Connections between the first region and the others break, and new ones are refused.
    CutRegion,
    /// Links between the first region and the others pass nothing and break no connection.
    HoleRegion,
    /// All open connections between regions become silent and stay so; new ones work.
    SilentWan,
    /// The configuration service answers 503.
    ConfigDown,
    /// The configuration service serves outdated documents.
    ConfigStale,
    /// The configuration service answers slowly.
    ConfigSlow,
    /// The first engine of the first region stalls its streams.
    EngineStall,
    /// That engine breaks its streams.
    EngineCut,
    /// That engine responds with wrong request ids.
    EngineWrongId,
    /// That engine responds with invalid bodies.
    EngineGarbage,
    /// That engine sends answers that never end.
    EngineEndless,
    /// That engine responds with status 500.
    EngineError,
    /// All engines of the first region are slowed down.
    BrownOut,
    /// All engines of the first region stop, and restart with empty caches at the end.
    RegionLoss,
    /// The plain service of the first region executes calls and then breaks the connection.
    RecordsCut,
    /// The last customer's key is withdrawn, and reinstated at the end.
    WithdrawKey,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 20] = [
        Self::KillHost,
        Self::PauseHost,
        Self::DrainHost,
        Self::ReplaceHosts,
        Self::CutRegion,
        Self::HoleRegion,
        Self::SilentWan,
        Self::ConfigDown,
        Self::ConfigStale,
        Self::ConfigSlow,
        Self::EngineStall,
        Self::EngineCut,
        Self::EngineWrongId,
        Self::EngineGarbage,
        Self::EngineEndless,
        Self::EngineError,
        Self::BrownOut,
        Self::RegionLoss,
        Self::RecordsCut,
        Self::WithdrawKey,
    ];
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        f.write_str(name.as_str().unwrap_or_default())
    }
}

impl FromStr for Incident {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong =
            || format!("invalid fault {text:?}: expected NAME@SECOND or NAME@SECOND+SECONDS");
        let (name, time) = text.split_once('@').ok_or_else(wrong)?;
        let (at, lasts) = match time.split_once('+') {
            Some((at, lasts)) => (at, seconds(lasts).ok_or_else(wrong)?),
            None => (time, DEFAULT_DURATION),
        };
        let kind = serde_json::from_value(name.into())
            .map_err(|error| format!("unknown fault {name:?}: {error}"))?;
        Ok(Self {
            kind,
            at: seconds(at).ok_or_else(wrong)?,
            lasts,
        })
    }
}

fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

impl Fleet {
    /// Begins a fault. [`Kind::ReplaceHosts`] returns once all hosts have been replaced.
    pub async fn begin_incident(&mut self, kind: Kind) -> io::Result<()> {
        match kind {
            Kind::KillHost => self.hosts[TARGET_REGION].kill().await?,
            Kind::PauseHost => self.hosts[TARGET_REGION].signal(Signal::Stop).await?,
            Kind::DrainHost => self.hosts[TARGET_REGION].signal(Signal::Term).await?,
            Kind::ReplaceHosts => self.restart_all_hosts().await?,
            Kind::CutRegion => self.links_of(TARGET_REGION).for_each(Link::cut),
            Kind::HoleRegion => self.links_of(TARGET_REGION).for_each(Link::hole),
            Kind::SilentWan => self.links.values().for_each(Link::silence),
            Kind::ConfigDown => self.set_platform_mode(Mode::Down),
            Kind::ConfigStale => self.set_platform_mode(Mode::Stale),
            Kind::ConfigSlow => self.set_platform_mode(Mode::Slow),
            Kind::RegionLoss => self
                .engines
                .iter_mut()
                .filter(|engine| engine.region == TARGET_REGION)
                .for_each(super::Replica::stop),
            Kind::RecordsCut => {
                self.services[TARGET_REGION].fault(until_cleared(Fault::Cut { after: 0 }))
            }
            Kind::WithdrawKey => self.withdraw_keys(&self.last_customer())?,
            Kind::BrownOut => self.set_region_fault(until_cleared(Fault::Slow {
                factor: SLOW_FACTOR,
            })),
            _ => self.set_engine_fault(engine_fault(kind)),
        }
        Ok(())
    }

    /// Ends a fault and restores normal operation.
    pub async fn end_incident(&mut self, kind: Kind) -> io::Result<()> {
        match kind {
            Kind::KillHost => self.hosts[TARGET_REGION].start()?,
            Kind::PauseHost => self.hosts[TARGET_REGION].signal(Signal::Cont).await?,
            Kind::DrainHost => {
                self.hosts[TARGET_REGION].wait().await?;
                self.hosts[TARGET_REGION].start()?;
            }
            Kind::CutRegion | Kind::HoleRegion => self.links_of(TARGET_REGION).for_each(Link::heal),
            Kind::ReplaceHosts | Kind::SilentWan => {}
            Kind::ConfigDown | Kind::ConfigStale | Kind::ConfigSlow => {
                self.set_platform_mode(Mode::Up);
            }
            Kind::RegionLoss => {
                for engine in &mut self.engines {
                    engine.restore().await?;
                }
            }
            Kind::RecordsCut => self.services[TARGET_REGION].fault(None),
            Kind::WithdrawKey => self.withdraw_keys(&BTreeSet::new())?,
            Kind::BrownOut => self.set_region_fault(None),
            _ => self.set_engine_fault(None),
        }
        Ok(())
    }

    fn last_customer(&self) -> BTreeSet<&'static str> {
        let last = self.deployment.customers.last();
        last.iter().map(|profile| profile.name).collect()
    }

    fn set_platform_mode(&self, mode: Mode) {
        self.platforms
            .iter()
            .for_each(|platform| platform.mode(mode));
    }

    fn set_region_fault(&self, order: Option<Order>) {
        self.engines
            .iter()
            .filter(|engine| engine.region == TARGET_REGION)
            .filter_map(super::Replica::running)
            .for_each(|engine| engine.fault(order));
    }

    fn set_engine_fault(&self, order: Option<Order>) {
        if let Some(engine) = self.engines.first().and_then(super::Replica::running) {
            engine.fault(order);
        }
    }

    /// Drains and restarts each host: first the first hosts of all regions, then the second ones,
    /// and so on.
    async fn restart_all_hosts(&mut self) -> io::Result<()> {
        for number in 0..HOSTS_PER_REGION {
            for host in self.hosts.iter_mut().skip(number).step_by(HOSTS_PER_REGION) {
                restart(host).await?;
            }
        }
        Ok(())
    }
}

async fn restart(host: &mut Daemon) -> io::Result<()> {
    host.signal(Signal::Term).await?;
    host.wait().await?;
    host.start()?;
    host.wait_until_ready().await
}

fn until_cleared(fault: Fault) -> Option<Order> {
    Some(Order { fault, times: None })
}

fn engine_fault(kind: Kind) -> Option<Order> {
    let after = TOKENS_BEFORE_FAULT;
    until_cleared(match kind {
        Kind::EngineStall => Fault::Stall { after },
        Kind::EngineCut => Fault::Cut { after },
        Kind::EngineWrongId => Fault::WrongId,
        Kind::EngineGarbage => Fault::Garbage,
        Kind::EngineEndless => Fault::Endless,
        _ => Fault::Error,
    })
}
