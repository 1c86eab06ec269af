//! Faults by name, at a time, in a running fleet.

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

/// How long an incident lasts when nothing is said.
const DEFAULT_DURATION: Duration = Duration::from_secs(5);

/// Tokens after which an engine's streams stall or are cut.
const TOKENS_BEFORE_FAULT: u32 = 5;

/// How many times as long an engine takes in a brown-out.
const SLOW_FACTOR: u32 = 6;

/// Region that incidents strike.
const TARGET_REGION: usize = 0;

/// A fault that strikes at a time and ends after a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    /// What happens.
    pub kind: Kind,
    /// When, from the run's start.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The first host of the first region is killed, and later started anew.
    KillHost,
    /// It is paused, and goes on later.
    PauseHost,
    /// It is told to drain, and later started anew.
    DrainHost,
    /// All hosts are drained and started anew, one after the other.
    ReplaceHosts,
    /// The first region's links to the others are cut.
    CutRegion,
    /// The first region's links become black holes.
    HoleRegion,
    /// All connections between regions that are open go silent for good.
    SilentWan,
    /// The configuration service is down.
    ConfigDown,
    /// It is stale.
    ConfigStale,
    /// It is slow.
    ConfigSlow,
    /// The first engine of the first region stalls its streams.
    EngineStall,
    /// It cuts its streams.
    EngineCut,
    /// It answers with wrong ids.
    EngineWrongId,
    /// It answers garbage.
    EngineGarbage,
    /// It never ends.
    EngineEndless,
    /// It answers 500.
    EngineError,
    /// All engines of the first region are slow.
    BrownOut,
    /// All engines of the first region are lost and come back cold.
    RegionLoss,
    /// The plain service of the first region runs calls and cuts the connection.
    RecordsCut,
    /// The last customer's key is withdrawn and given again.
    WithdrawKey,
}

impl Kind {
    /// Every kind.
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
        let wrong = || format!("{text:?}: write NAME@SECOND or NAME@SECOND+SECONDS");
        let (name, time) = text.split_once('@').ok_or_else(wrong)?;
        let (at, lasts) = match time.split_once('+') {
            Some((at, lasts)) => (at, seconds(lasts).ok_or_else(wrong)?),
            None => (time, DEFAULT_DURATION),
        };
        let kind = serde_json::from_value(name.into())
            .map_err(|error| format!("no fault {name:?}: {error}"))?;
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
    /// Begins an incident.
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

    /// Ends an incident.
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

    /// Drains each host and starts it anew; the first hosts of all regions, then the second ones.
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
