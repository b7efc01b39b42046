//! Command line of pistachiomoor.
//!
//! Exit codes: 0 for success, 1 for failures, 2 for faulty input, 3 for a plan
//! that was not accepted, 4 for a daemon or log that can't be reached, 5 if it
//! is undecided whether something took effect.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};
use pistachiomoor::cmd;
use pistachiomoor::model;

fn format() -> impl Parser<cmd::Format> {
    bpaf::long("json")
        .help("Print JSON for programs")
        .flag(cmd::Format::Json, cmd::Format::Text)
}

/// Router for servers that own keys exclusively
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs the daemon until SIGTERM
    #[bpaf(command)]
    Serve {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks settings files and intents
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: cmd::Format,
        /// Files
        #[bpaf(positional("FILE"), some("expected at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows what an intent would change, and writes the plan to a file
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of any daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        /// Your name, recorded with the plan
        #[bpaf(argument("NAME"))]
        operator: String,
        /// Why, recorded with the plan
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// File to write the plan to
        #[bpaf(argument("FILE"), fallback(PathBuf::from("plan.json")))]
        out: PathBuf,
        /// Intent, a JSON file with a list of changes
        #[bpaf(positional("INTENT"))]
        intent: PathBuf,
    },
    /// Has exactly one plan carried out
    #[bpaf(command)]
    Confirm {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of any daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        /// Plan file
        #[bpaf(positional("PLAN"))]
        plan: PathBuf,
    },
    /// Shows what daemons hold and know
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of a daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        /// Every daemon of the state; names those that don't answer
        all: bool,
    },
    /// Says who answers for a request and why, or what became of one
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of any daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        #[bpaf(external)]
        question: Question,
    },
    /// Lists who decided what and when, from the log, or a gateway daemon's last events
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        format: cmd::Format,
        #[bpaf(external)]
        source: Source,
    },
    /// Shows progress until a failure domain or target owns nothing
    #[bpaf(command)]
    Watch {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of any daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        #[bpaf(external)]
        subject: Subject,
        /// Pause between two lines, in milliseconds
        #[bpaf(argument("MS"), fallback(1_000))]
        every_ms: u64,
        /// Longest time to watch, in seconds; then exits with 5
        #[bpaf(argument("SECONDS"), optional)]
        at_most: Option<u64>,
    },
    /// Reports service-level burn over all daemons, or of one gateway daemon
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        format: cmd::Format,
        /// Admin port of any daemon
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
        /// File to write an HTML page with plots to
        #[bpaf(argument("FILE"), optional)]
        html: Option<PathBuf>,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum Source {
    Log {
        /// Log service
        #[bpaf(argument("ADDR"))]
        log: SocketAddr,
        /// First offset to list
        #[bpaf(argument("OFFSET"), fallback(0))]
        from: u64,
        /// changes, moves, leases or all
        #[bpaf(argument("KIND"), fallback(cmd::history::Kind::Changes))]
        kind: cmd::history::Kind,
    },
    Gateway {
        /// Admin port of a gateway daemon: the last events that it saw
        #[bpaf(argument("ADDR"))]
        admin: SocketAddr,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum Question {
    Place {
        /// Host that a request to a gateway names
        #[bpaf(argument("HOST"), optional)]
        host: Option<String>,
        /// Path of a request
        #[bpaf(argument("PATH"))]
        path: String,
        /// Value of its header `key`
        #[bpaf(argument("KEY"), optional)]
        key: Option<String>,
        /// Value of its header `tenant`
        #[bpaf(argument("TENANT"), optional)]
        tenant: Option<String>,
    },
    Request {
        /// Identifier from a response's header `request-id`
        #[bpaf(argument("ID"))]
        request: String,
    },
    /// Recent requests at this daemon that were slow, retried or refused
    Recent,
}

#[derive(Clone, Debug, Bpaf)]
enum Subject {
    Domain {
        /// Failure domain
        #[bpaf(argument("NAME"))]
        domain: String,
    },
    Target {
        /// Target
        #[bpaf(argument("NAME"))]
        target: String,
    },
}

impl TryFrom<Question> for cmd::explain::Question {
    type Error = cmd::Error;

    fn try_from(question: Question) -> Result<Self, cmd::Error> {
        Ok(match question {
            Question::Place {
                host,
                path,
                key,
                tenant,
            } => Self::place(host, path, key, tenant)?,
            Question::Request { request } => Self::Request(request),
            Question::Recent => Self::Recent,
        })
    }
}

impl From<Subject> for cmd::watch::Subject {
    fn from(subject: Subject) -> Self {
        match subject {
            Subject::Domain { domain } => Self::Domain(domain),
            Subject::Target { target } => Self::Target(target),
        }
    }
}

impl Command {
    /// Returns whether the command prints JSON.
    fn is_json(&self) -> bool {
        match self {
            Self::Serve { .. } => false,
            Self::Check { format, .. }
            | Self::Plan { format, .. }
            | Self::Confirm { format, .. }
            | Self::Status { format, .. }
            | Self::Explain { format, .. }
            | Self::History { format, .. }
            | Self::Watch { format, .. }
            | Self::Report { format, .. } => *format == cmd::Format::Json,
        }
    }
}

fn run(command: Command) -> Result<(), cmd::Error> {
    match command {
        Command::Serve { settings } => cmd::serve::run(&settings),
        Command::Check { format, files } => cmd::check::run(&files, format),
        Command::Plan {
            format,
            admin,
            operator,
            reason,
            out,
            intent,
        } => {
            let author = cmd::plan::Author { operator, reason };
            cmd::plan::run(admin, &intent, &author, &out, format)
        }
        Command::Confirm {
            format,
            admin,
            plan,
        } => cmd::confirm::run(admin, &plan, format),
        Command::Status { format, admin, all } => cmd::status::run(admin, all, format),
        Command::Explain {
            format,
            admin,
            question,
        } => cmd::explain::run(admin, &question.try_into()?, format),
        Command::History { format, source } => match source {
            Source::Log { log, from, kind } => {
                cmd::history::run(log, model::Offset(from), kind, format)
            }
            Source::Gateway { admin } => cmd::history::run_gateway(admin, format),
        },
        Command::Watch {
            format,
            admin,
            subject,
            every_ms,
            at_most,
        } => {
            let pace = cmd::watch::Pace { every_ms, at_most };
            cmd::watch::run(admin, &subject.into(), pace, format)
        }
        Command::Report {
            format,
            admin,
            html,
        } => cmd::report::run(admin, html.as_deref(), format),
    }
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(cmd::FAULTY_INPUT),
            };
        }
    };
    let is_json = command.is_json();
    let Err(error) = run(command) else {
        return ExitCode::SUCCESS;
    };
    if is_json {
        println!("{}", cmd::output::failure(&error));
    }
    eprintln!("error: {error}");
    let mut source = error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
    ExitCode::from(error.exit_code())
}
