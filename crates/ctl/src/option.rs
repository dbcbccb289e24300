//! Options that are common to all commands.

use crate::Error;
use crate::client::Endpoint;
use getopts::{Matches, Options};
use std::path::PathBuf;
use std::str::FromStr;

/// Environment variable with the operator's token.
pub const TOKEN_VARIABLE: &str = "LINNETDRIFT_TOKEN";

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for scripts.
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

/// Parsed common options.
#[derive(Clone, Debug)]
pub struct Common {
    /// Entries to call; if one cannot be reached, the next is tried.
    pub entries: Vec<Endpoint>,
    /// PEM file with the certificate authority of the entries.
    pub ca: Option<PathBuf>,
    /// The operator's token.
    pub token: Option<String>,
    /// Output format.
    pub format: Format,
}

impl Common {
    /// Declares the common options.
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

    /// Parses the common options.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if a value is invalid.
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

/// Parses an optional option.
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

/// Returns the only argument of a command.
///
/// # Errors
///
/// [`Error::Usage`] if there is not exactly one argument.
pub fn single_argument(matches: &Matches, what: &str) -> Result<String, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        [] => Err(Error::usage(format!("{what} is missing"))),
        [_, extra, ..] => Err(unexpected_argument(extra)),
    }
}

/// Returns an error if there are any arguments.
///
/// # Errors
///
/// [`Error::Usage`] naming the first argument.
pub fn no_arguments(matches: &Matches) -> Result<(), Error> {
    matches
        .free
        .first()
        .map_or(Ok(()), |extra| Err(unexpected_argument(extra)))
}

/// Checks that an argument, which is a name or a key, is safe to use in a URL path.
///
/// # Errors
///
/// [`Error::Usage`] if it is not.
pub fn path_safe(argument: String, what: &str) -> Result<String, Error> {
    let safe = |c: char| c.is_ascii_alphanumeric() || "-_./@".contains(c);
    if !argument.is_empty() && argument.chars().all(safe) {
        return Ok(argument);
    }
    Err(Error::usage(format!(
        "{what} `{argument}` is no valid name"
    )))
}

fn unexpected_argument(argument: &str) -> Error {
    Error::usage(format!("unexpected argument `{argument}`"))
}
