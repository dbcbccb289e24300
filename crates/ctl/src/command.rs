//! Commands of `linnetdrift`: how they are found, parsed and run.

use crate::error::EXIT_OK;
use crate::{Common, Error, Format};
use getopts::{Matches, Options};
use std::process::ExitCode;

/// First lines of the help.
const USAGE: &str = "Usage: linnetdrift COMMAND [ARGUMENTS] [OPTIONS]";
/// Last lines of the help.
const EXITS: &str = "\
Exit codes:
  0  done as asked
  1  failed or refused
  2  bad arguments, or findings in a file
  3  conflict: another operator was first, nothing was accepted
  4  outcome unknown: it may have been done";

/// A command with its parsed arguments.
pub trait Command: Sized {
    /// Name on the command line, its arguments and what it does.
    const HELP: Help;
    /// Whether `--version` is the common flag; a command may have an option of that name.
    const VERSION_FLAG: bool = true;

    /// Adds the command's own options.
    fn declare(_options: &mut Options) {}

    /// Reads the command's own options and arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] for each bad argument.
    fn parse(matches: &Matches) -> Result<Self, Error>;

    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// What went wrong; it determines the exit code.
    fn run(self, common: &Common) -> impl Future<Output = Result<(), Error>> + Send;
}

/// What the help says about a command.
#[derive(Clone, Copy, Debug)]
pub struct Help {
    /// Name on the command line.
    pub name: &'static str,
    /// Arguments.
    pub arguments: &'static str,
    /// What it does.
    pub about: &'static str,
}

/// What to do with a command line.
enum Request<C> {
    Print(String),
    Run(C, Common),
}

macro_rules! commands {
    ($($command:ty),* $(,)?) => {
        const HELPS: &[Help] = &[$(<$command as Command>::HELP),*];

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

/// Runs the command line and gives the exit code.
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

/// Name and version of a program.
#[must_use]
pub fn version(program: &str) -> String {
    format!("{program} {}", env!("CARGO_PKG_VERSION"))
}

async fn execute<C: Command>(arguments: &[String]) -> Result<(), Error> {
    match request::<C>(arguments)? {
        Request::Print(text) => crate::output::line(text),
        Request::Run(command, common) => command.run(&common).await,
    }
}

fn request<C: Command>(arguments: &[String]) -> Result<Request<C>, Error> {
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
        return Ok(Request::Print(options.usage(&brief)));
    }
    if C::VERSION_FLAG && matches.opt_present("version") {
        return Ok(Request::Print(version("linnetdrift")));
    }
    let common = Common::parse(&matches)?;
    Ok(Request::Run(C::parse(&matches)?, common))
}

fn help() -> String {
    let lines = HELPS.iter().map(|help| {
        let call = format!("{} {}", help.name, help.arguments);
        format!("  {call:<34} {}\n", help.about)
    });
    let lines: String = lines.collect();
    format!("{USAGE}\n\nCommands (COMMAND --help says more):\n{lines}\n{EXITS}")
}

/// Whether errors are wanted as JSON too; asked before the options are known to be well.
fn wants_json(arguments: &[String]) -> bool {
    let pairs = arguments.windows(2);
    let json =
        |pair: &[String]| pair[0] == "--format" && pair[1].parse().ok() == Some(Format::Json);
    pairs.into_iter().any(json) || arguments.iter().any(|argument| argument == "--format=json")
}
