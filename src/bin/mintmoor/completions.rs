//! `completions`: a completion script made from the list of commands and kinds.

use eyre::Result;
use mintmoor::resources::Kind;

use crate::ending::Ending;

const COMMANDS: [&str; 15] = [
    "entry",
    "agent",
    "route",
    "local",
    "check",
    "get",
    "apply",
    "delete",
    "watch",
    "dump",
    "release",
    "explain",
    "load",
    "standin",
    "completions",
];

/// Prints the script.
pub(crate) fn run() -> Result<Ending> {
    let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    println!(
        r#"_mintmoor() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}"
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "{}" -- "$word"))
        return
    fi
    case "${{COMP_WORDS[1]}}" in
        get|delete|watch) COMPREPLY=($(compgen -W "{}" -- "$word")) ;;
        *) COMPREPLY=($(compgen -f -- "$word")) ;;
    esac
}}
complete -F _mintmoor mintmoor"#,
        COMMANDS.join(" "),
        kinds.join(" ")
    );
    Ok(Ending::Good)
}
