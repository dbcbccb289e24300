//! Options that all commands have.

use crate::Error;
use crate::client::Endpoint;
use getopts::{Matches, Options};
use std::path::PathBuf;
use std::str::FromStr;

/// Variable of the environment that holds the operator's token.
pub const TOKEN_VARIABLE: &str = "LINNETDRIFT_TOKEN";

/// How answers are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts: one JSON value.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// Values of the common options.
#[derive(Clone, Debug)]
pub struct Common {
    /// Entries to call; the next one is tried where one cannot be reached.
    pub entries: Vec<Endpoint>,
    /// PEM file with the authority that signed the entries' certificates.
    pub ca: Option<PathBuf>,
    /// The operator's token.
    pub token: Option<String>,
    /// How answers are printed.
    pub format: Format,
}

impl Common {
    /// Adds the common options.
    pub fn declare(options: &mut Options) {
        options.optmulti(
            "",
            "entry",
            "entry to call; may be given several times",
            "IP:PORT",
        );
        options.optopt(
            "",
            "ca",
            "authority of the entries' certificates, as PEM",
            "FILE",
        );
        options.optopt(
            "",
            "token",
            &format!("operator's token (or ${TOKEN_VARIABLE})"),
            "T",
        );
        options.optopt("", "format", "how to print: text or json", "FORMAT");
        options.optflag("h", "help", "print this help");
    }

    /// Reads the common options.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] for a value that makes no sense.
    pub fn parse(matches: &Matches) -> Result<Self, Error> {
        let entries = matches.opt_strs("entry");
        let entries = entries.iter().map(|text| text.parse());
        let entries: Vec<Endpoint> = entries.collect::<Result<_, _>>()?;
        let ca = matches.opt_str("ca").map(PathBuf::from);
        let token = matches.opt_str("token");
        Ok(Self {
            entries,
            ca,
            token: token.or_else(|| std::env::var(TOKEN_VARIABLE).ok()),
            format: parse(matches, "format")?.unwrap_or_default(),
        })
    }
}

/// Reads an option that may be left out.
///
/// # Errors
///
/// [`Error::Usage`] naming the option and its value.
pub fn parse<T: FromStr<Err: ToString>>(matches: &Matches, name: &str) -> Result<Option<T>, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let value = text.parse().map_err(|error: T::Err| {
        Error::usage(format!("--{name} `{text}`: {}", error.to_string()))
    })?;
    Ok(Some(value))
}

/// The one argument that a command takes.
///
/// # Errors
///
/// [`Error::Usage`] if there is none or more than one.
pub fn single_argument(matches: &Matches, what: &str) -> Result<String, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        [] => Err(Error::usage(format!("{what} is missing"))),
        [_, extra, ..] => Err(unexpected(extra)),
    }
}

/// Checks that there are no arguments.
///
/// # Errors
///
/// [`Error::Usage`] if there is one.
pub fn no_arguments(matches: &Matches) -> Result<(), Error> {
    matches
        .free
        .first()
        .map_or(Ok(()), |extra| Err(unexpected(extra)))
}

/// Checks that an argument can stand in a path: a name or key.
///
/// # Errors
///
/// [`Error::Usage`] if it cannot.
pub fn path_safe(argument: String, what: &str) -> Result<String, Error> {
    let safe = |c: char| c.is_ascii_alphanumeric() || "-_./@".contains(c);
    if !argument.is_empty() && argument.chars().all(safe) {
        return Ok(argument);
    }
    Err(Error::usage(format!(
        "{what} `{argument}` is no valid name"
    )))
}

fn unexpected(argument: &str) -> Error {
    Error::usage(format!("unexpected argument `{argument}`"))
}
