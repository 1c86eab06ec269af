//! Reads and validates the settings of `serve`. A flag takes precedence over its environment
//! variable.

use {
    crate::arguments::Serve,
    greengagecleat::{Error, Result, limit, name, settings::Settings, start::address},
    std::{env, net::SocketAddr, str::FromStr, time::Duration},
};

/// Longest name of a host, region or failure domain.
const MAX_NAME_BYTES: usize = 64;
/// Allowed values of the request body limit, in bytes.
const BODY_LIMIT_RANGE: std::ops::RangeInclusive<usize> = 1024..=64 * 1024 * 1024;
/// Default of the largest number of entry hosts of a region.
const DEFAULT_REGION_HOSTS: u32 = 3;
/// Allowed values of the largest number of entry hosts of a region.
const REGION_HOSTS_RANGE: std::ops::RangeInclusive<u32> = 1..=1000;
/// Largest allowed drain limit or drain grace, in seconds.
const MAX_DRAIN_SECONDS: f64 = 86_400.0;

/// The format and filter of the daemon's logs.
#[derive(Debug)]
pub(crate) struct Logging {
    pub(crate) is_json: bool,
    pub(crate) filter: tracing_subscriber::EnvFilter,
}

/// A setting with its flag, its environment variable, and the flag's value if it was given.
struct Setting {
    flag: &'static str,
    variable: &'static str,
    flag_value: Option<String>,
}

impl Setting {
    /// The value, and the flag or variable that it came from.
    fn value(&self) -> Option<(String, &'static str)> {
        if let Some(value) = &self.flag_value {
            return Some((value.clone(), self.flag));
        }
        let value = env::var(self.variable).ok()?;
        Some((value, self.variable))
    }

    fn invalid(&self, origin: &'static str, reason: impl Into<String>) -> Error {
        Error::Setting {
            setting: self.flag,
            origin,
            reason: reason.into(),
        }
    }

    /// The value parsed as `T`; `None` if it is absent. `expected` describes valid values.
    fn parse<T: FromStr>(&self, expected: &str) -> Result<Option<T>> {
        let Some((text, origin)) = self.value() else {
            return Ok(None);
        };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.invalid(origin, format!("{text:?} is not {expected}"))),
        }
    }

    fn required<T>(&self, value: Option<T>) -> Result<T> {
        value.ok_or_else(|| {
            let reason = format!("missing: give {} or set {}", self.flag, self.variable);
            self.invalid("nowhere", reason)
        })
    }

    /// A required name of letters, digits, dots, dashes and underscores.
    fn name(&self) -> Result<String> {
        let (text, origin) = self.required(self.value())?;
        let is_valid = !text.is_empty()
            && text.len() <= MAX_NAME_BYTES
            && text
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || "._-".contains(c));
        if !is_valid {
            let reason =
                format!("{text:?} is not 1 to {MAX_NAME_BYTES} letters, digits, '.', '-' or '_'");
            return Err(self.invalid(origin, reason));
        }
        Ok(text)
    }

    fn address(&self) -> Result<Option<SocketAddr>> {
        self.parse("an IP address with a port, such as 127.0.0.1:8080")
    }

    fn seconds(&self, default: Duration) -> Result<Duration> {
        let Some(seconds) = self.parse::<f64>("a number of seconds")? else {
            return Ok(default);
        };
        if !(0.0..=MAX_DRAIN_SECONDS).contains(&seconds) {
            let origin = self.value().map_or(self.flag, |(_, origin)| origin);
            return Err(self.invalid(
                origin,
                format!("{seconds} is not within 0 to {MAX_DRAIN_SECONDS} s"),
            ));
        }
        Ok(Duration::from_secs_f64(seconds))
    }
}

macro_rules! setting {
    ($flags:ident . $field:ident, $flag:literal, $variable:literal) => {
        Setting {
            flag: $flag,
            variable: concat!("GREENGAGECLEAT_", $variable),
            flag_value: $flags.$field.clone(),
        }
    };
}

/// Reads the settings of a host.
pub(crate) fn settings(flags: &Serve) -> Result<Settings> {
    let listen = setting!(flags.listen, "--listen", "LISTEN");
    let peer_listen = setting!(flags.peer_listen, "--peer-listen", "PEER_LISTEN");
    let admin_listen = setting!(flags.admin_listen, "--admin-listen", "ADMIN_LISTEN");
    let platform = setting!(flags.platform, "--platform", "PLATFORM");
    let settings = Settings {
        name: name::Host::from(setting!(flags.name, "--name", "NAME").name()?),
        region: name::Region::from(setting!(flags.region, "--region", "REGION").name()?),
        domain: name::Domain::from(setting!(flags.domain, "--domain", "DOMAIN").name()?),
        listen: listen.required(listen.address()?)?,
        peer_listen: peer_listen.required(peer_listen.address()?)?,
        advertise: setting!(flags.advertise, "--advertise", "ADVERTISE").address()?,
        peer_advertise: setting!(flags.peer_advertise, "--peer-advertise", "PEER_ADVERTISE")
            .address()?,
        admin_listen: admin_listen.required(admin_listen.address()?)?,
        platform: platform.required(platform.address()?)?,
        peer_secret: peer_secret(flags)?,
        region_hosts: region_hosts(flags)?,
        limit: limit::Timing::default(),
        drain_limit: setting!(flags.drain_limit, "--drain-limit", "DRAIN_LIMIT")
            .seconds(Duration::from_secs(120))?,
        drain_grace: setting!(flags.drain_grace, "--drain-grace", "DRAIN_GRACE")
            .seconds(Duration::from_secs(3))?,
        body_limit: body_limit(flags)?,
    };
    let addresses = [
        (listen.flag, settings.listen),
        (peer_listen.flag, settings.peer_listen),
        (admin_listen.flag, settings.admin_listen),
    ];
    if let Some((earlier, later)) = address::overlap(&addresses) {
        let given = [&peer_listen, &admin_listen].into_iter();
        let given = given.filter(|setting| setting.flag == later);
        let (_, origin) = given.flat_map(Setting::value).next().unwrap_or_default();
        return Err(Error::Setting {
            setting: later,
            origin,
            reason: format!("the same address as {earlier}: each needs its own"),
        });
    }
    Ok(settings)
}

fn peer_secret(flags: &Serve) -> Result<String> {
    let setting = setting!(flags.peer_secret, "--peer-secret", "PEER_SECRET");
    let Some((secret, origin)) = setting.value() else {
        return Ok(String::new());
    };
    if !secret.chars().all(|c| c.is_ascii_graphic()) {
        return Err(setting.invalid(origin, "must be printable ASCII without spaces"));
    }
    Ok(secret)
}

fn region_hosts(flags: &Serve) -> Result<u32> {
    let setting = setting!(flags.region_hosts, "--region-hosts", "REGION_HOSTS");
    let Some(hosts) = setting.parse::<u32>("a number of hosts")? else {
        return Ok(DEFAULT_REGION_HOSTS);
    };
    if !REGION_HOSTS_RANGE.contains(&hosts) {
        let origin = setting.value().map_or(setting.flag, |(_, origin)| origin);
        let reason = format!(
            "{hosts} is not within {} to {} hosts",
            REGION_HOSTS_RANGE.start(),
            REGION_HOSTS_RANGE.end()
        );
        return Err(setting.invalid(origin, reason));
    }
    Ok(hosts)
}

fn body_limit(flags: &Serve) -> Result<usize> {
    let setting = setting!(flags.body_limit, "--body-limit", "BODY_LIMIT");
    let Some(limit) = setting.parse::<usize>("a number of bytes")? else {
        return Ok(4 * 1024 * 1024);
    };
    if !BODY_LIMIT_RANGE.contains(&limit) {
        let origin = setting.value().map_or(setting.flag, |(_, origin)| origin);
        let reason = format!(
            "{limit} is not within {} to {} bytes",
            BODY_LIMIT_RANGE.start(),
            BODY_LIMIT_RANGE.end()
        );
        return Err(setting.invalid(origin, reason));
    }
    Ok(limit)
}

/// Reads the log format and filter.
pub(crate) fn log(flags: &Serve) -> Result<Logging> {
    let format = setting!(flags.log_format, "--log-format", "LOG_FORMAT");
    let is_json = match format.value() {
        None => false,
        Some((text, _)) if text == "human" => false,
        Some((text, _)) if text == "json" => true,
        Some((text, origin)) => {
            return Err(format.invalid(origin, format!("{text:?} is neither human nor json")));
        }
    };
    let filter = setting!(flags.log_filter, "--log-filter", "LOG_FILTER");
    let (text, origin) = filter.value().unwrap_or(("info".into(), filter.flag));
    let filter = text.parse().map_err(|_| {
        filter.invalid(
            origin,
            format!("{text:?} is not a log filter, such as info"),
        )
    })?;
    Ok(Logging { is_json, filter })
}
