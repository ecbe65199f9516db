//! The commands of `banyan`, one per module.

mod account;
mod adapters;
mod check_settings;
mod confirm;
mod output;
mod plan;
mod pools;
mod status;
mod timeline;
mod usage;
mod why;

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::link::Link;
use banyangauge::operator::Client;
use banyangauge::operator::ClientError;
use banyangauge::operator::ClientSettings;

/// Environment variable with the control processes, used without `--control`.
const CONTROL_VARIABLE: &str = "BANYAN_CONTROL";

/// Environment variable with the operator's key, used without `--key`.
const KEY_VARIABLE: &str = "BANYAN_KEY";

/// Plan and confirm changes, and inspect the state of the system.
#[derive(FromArgs)]
#[argh(
    note = "Intents are TOML or JSON. Without --control, --key or --settings, the
environment variables BANYAN_CONTROL and BANYAN_KEY are used. The options above
go before the command, the options of a command after it.",
    example = "{command_name} --control 10.0.0.1:7100 plan serve.toml --out plan.json
{command_name} --control 10.0.0.1:7100 confirm plan.json",
    error_code(0, "success"),
    error_code(1, "rejected: a rule forbids it, or the operator's key is not valid"),
    error_code(2, "wrong usage, or a file that cannot be read"),
    error_code(
        3,
        "no control process or platform answered, or the outcome is unknown"
    ),
    error_code(4, "another operator's change was applied first; plan again")
)]
pub(crate) struct Banyan {
    /// control processes to try in order: ADDR[,ADDR...]
    #[argh(option)]
    control: Option<String>,
    /// operator's key
    #[argh(option)]
    key: Option<String>,
    /// settings file in TOML: control = [ADDR...], key_file = FILE, and for TLS
    /// a table link with the keys authority, certificate and key = FILE
    #[argh(option)]
    settings: Option<PathBuf>,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Plan(plan::Plan),
    Confirm(confirm::Confirm),
    Status(status::Status),
    Adapters(adapters::Adapters),
    Pools(pools::Pools),
    Usage(usage::Usage),
    Timeline(timeline::Timeline),
    CheckSettings(check_settings::CheckSettings),
    Why(why::Why),
    Account(account::Account),
}

/// Why a command failed.
pub(crate) enum CommandError {
    /// A file cannot be read or written, or an argument is invalid.
    Usage(String),
    /// A call to a control process failed.
    Call(ClientError),
}

impl CommandError {
    /// Returns the exit code for this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Call(e) => e.exit_code(),
        }
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(e) => f.write_str(e),
            Self::Call(e) => write!(f, "{e}"),
        }
    }
}

impl From<ClientError> for CommandError {
    fn from(e: ClientError) -> Self {
        Self::Call(e)
    }
}

impl Banyan {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// When the command fails; see [`CommandError::exit_code`].
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        match &self.command {
            Command::CheckSettings(command) => return command.run(),
            Command::Why(command) => return command.run(),
            Command::Account(command) => return command.run(),
            _ => {}
        }
        let client = self.client()?;
        match &self.command {
            Command::Plan(c) => c.run(&client).await,
            Command::Confirm(c) => c.run(&client).await,
            Command::Status(c) => c.run(&client).await,
            Command::Adapters(c) => c.run(&client).await,
            Command::Pools(c) => c.run(&client).await,
            Command::Usage(c) => c.run(&client).await,
            Command::Timeline(c) => c.run(&client).await,
            Command::CheckSettings(c) => c.run(),
            Command::Why(c) => c.run(),
            Command::Account(c) => c.run(),
        }
    }

    fn client(&self) -> Result<Client, CommandError> {
        let settings = match &self.settings {
            Some(file) => Some(
                banyangauge::settings::load::<ClientSettings>(file)
                    .map_err(|e| CommandError::Usage(e.to_string()))?,
            ),
            None => None,
        };
        let variable = |name| std::env::var(name).ok();
        let control = match self.control.clone() {
            Some(text) => parse_addresses(&text)?,
            None => match &settings {
                Some(s) => s.control.clone(),
                None => parse_addresses(&variable(CONTROL_VARIABLE).unwrap_or_default())?,
            },
        };
        let link = match settings.as_ref().and_then(|s| s.link.as_ref()) {
            Some(keys) => Link::load(keys).map_err(|e| CommandError::Usage(e.to_string()))?,
            None => Link::plain(),
        };
        let key_file = settings.and_then(|s| s.key_file);
        let key = match (self.key.clone(), key_file) {
            (Some(key), _) => key,
            (None, Some(file)) => output::read(&file)?.trim().to_owned(),
            (None, None) => variable(KEY_VARIABLE).unwrap_or_default(),
        };
        Ok(Client::new(&control, &key)?.with_link(link))
    }
}

/// Parses `ADDR[,ADDR...]`.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    parts
        .map(|p| {
            p.parse().map_err(|_| {
                CommandError::Usage(format!("{p:?} is not a socket address, expected IP:PORT"))
            })
        })
        .collect()
}
