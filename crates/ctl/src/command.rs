//! Commands of `linnetdrift`: lookup, parsing and execution.

use crate::error::EXIT_OK;
use crate::{Common, Error, Format};
use getopts::{Matches, Options};
use std::process::ExitCode;

/// First line of the help text.
const USAGE: &str = "Usage: linnetdrift COMMAND [ARGUMENTS] [OPTIONS]";
/// Last lines of the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  done as asked
  1  failed or refused
  2  bad arguments, or findings in a file
  3  conflict: another operator was first, nothing was accepted
  4  outcome unknown: it may have been done";

/// A command with its parsed arguments.
pub trait Command: Sized {
    /// Name, arguments and description for the help text.
    const HELP: Help;
    /// Whether `--version` prints the program's version; false for a command that has its own
    /// option of that name.
    const VERSION_FLAG: bool = true;

    /// Declares the command's own options.
    fn declare(_options: &mut Options) {}

    /// Parses the command's own options and arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if an argument is invalid.
    fn parse(matches: &Matches) -> Result<Self, Error>;

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; it determines the exit code.
    fn run(self, common: &Common) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Help text of a command.
#[derive(Clone, Copy, Debug)]
pub struct Help {
    /// Name on the command line.
    pub name: &'static str,
    /// Names of its arguments.
    pub arguments: &'static str,
    /// One-line description.
    pub about: &'static str,
}

/// A parsed command line.
enum Invocation<C> {
    Print(String),
    Run(C, Common),
}

macro_rules! commands {
    ($($command:ty),* $(,)?) => {
        const COMMANDS: &[Help] = &[$(<$command as Command>::HELP),*];

        async fn dispatch(name: &str, arguments: &[String]) -> Result<(), Error> {
            $(
                if name == <$command as Command>::HELP.name {
                    return execute::<$command>(arguments).await;
                }
            )*
            Err(Error::usage(format!("there is no command `{name}`")))
        }
    };
}

commands![
    crate::check::Check,
    crate::plan::PlanCommand,
    crate::apply::Apply,
    crate::get::Get,
    crate::history::History,
    crate::drain::Drain,
    crate::drain::Undrain,
    crate::status::Status,
    crate::call::Call,
    crate::standin::Standin,
    crate::load::Load,
    crate::experiment::Experiment,
    crate::report::Report,
    crate::demo::Demo,
    crate::measure::Measure,
    crate::torture::Torture,
];

/// Runs the command line and returns the exit code.
pub async fn main(arguments: &[String]) -> ExitCode {
    let result = match arguments.first().map(String::as_str) {
        None => Err(Error::usage(format!("a command is missing\n{}", help()))),
        Some("--help" | "-h" | "help") => crate::output::line(help()),
        Some("--version") => crate::output::line(version("linnetdrift")),
        Some(name) => dispatch(name, &arguments[1..]).await,
    };
    let Err(error) = result else {
        return EXIT_OK.into();
    };
    match wants_json(arguments) {
        true => eprintln!("{}", error.value()),
        false => eprintln!("linnetdrift: {error}"),
    }
    error.exit().into()
}

/// Returns the name and version of a program.
#[must_use]
pub fn version(program: &str) -> String {
    format!("{program} {}", env!("CARGO_PKG_VERSION"))
}

async fn execute<C: Command>(arguments: &[String]) -> Result<(), Error> {
    match parse_arguments::<C>(arguments)? {
        Invocation::Print(text) => crate::output::line(text),
        Invocation::Run(command, common) => command.run(&common).await,
    }
}

fn parse_arguments<C: Command>(arguments: &[String]) -> Result<Invocation<C>, Error> {
    let mut options = Options::new();
    C::declare(&mut options);
    Common::declare(&mut options);
    if C::VERSION_FLAG {
        options.optflag("", "version", "print the version");
    }
    let Help {
        name,
        arguments: expected,
        about,
    } = C::HELP;
    let matches = options
        .parse(arguments)
        .map_err(|error| Error::usage(format!("{name}: {error}")))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: linnetdrift {name} {expected} [OPTIONS]\n\n{about}.");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if C::VERSION_FLAG && matches.opt_present("version") {
        return Ok(Invocation::Print(version("linnetdrift")));
    }
    let common = Common::parse(&matches)?;
    Ok(Invocation::Run(C::parse(&matches)?, common))
}

fn help() -> String {
    let lines = COMMANDS.iter().map(|help| {
        let call = format!("{} {}", help.name, help.arguments);
        format!("  {call:<34} {}\n", help.about)
    });
    let lines: String = lines.collect();
    format!("{USAGE}\n\nCommands (COMMAND --help says more):\n{lines}\n{EXIT_CODES}")
}

/// Returns whether errors are to be printed as JSON. It scans the raw arguments, since errors also
/// arise while the options are parsed.
fn wants_json(arguments: &[String]) -> bool {
    let pairs = arguments.windows(2);
    let json =
        |pair: &[String]| pair[0] == "--format" && pair[1].parse().ok() == Some(Format::Json);
    pairs.into_iter().any(json) || arguments.iter().any(|argument| argument == "--format=json")
}
