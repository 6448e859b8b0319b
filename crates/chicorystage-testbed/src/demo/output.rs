use crate::demo::exchange::Exchange;
use crate::demo::sample::Sample;
use crate::deployment::Deployment;

/// Prints a table of the requests and their results.
pub(crate) fn print_table(exchanges: &[Exchange]) {
    println!(
        "{:<26} {:<10} {:<6} {:>13} {:>9}  {:<30} {:>4}",
        "request", "endpoint", "model", "first byte ms", "total ms", "outcome", "runs"
    );
    for exchange in exchanges {
        let runs = exchange
            .runs
            .map_or_else(|| "-".to_owned(), |runs| runs.to_string());
        println!(
            "{:<26} {:<10} {:<6} {:>13} {:>9}  {:<30} {:>4}",
            exchange.name,
            exchange.endpoint,
            exchange.model_state(),
            exchange.answer.first_byte_ms,
            exchange.answer.total_ms,
            exchange.outcome(),
            runs
        );
    }
}

/// Prints the addresses and tokens of a running deployment, and sample commands.
pub(crate) fn print_addresses(deployment: &Deployment, sample: &Sample) {
    println!("\nrunning; press Ctrl-C to stop\n");
    for node in deployment.routers.iter().chain(&deployment.agents) {
        let role = match (node.caller_api(), node.admin_api()) {
            (Some(callers), Some(admin)) => {
                format!("callers http://{callers}  admin http://{admin}")
            }
            _ => String::new(),
        };
        let health = node.settings.health;
        println!("{:<10} health http://{health}  {role}", node.settings.vm);
    }
    println!("\ncaller token: {}", sample.caller_token);
    println!("root token:   {}\n", deployment.config.root_token);
    let (Some(callers), Some(admin)) = (
        deployment.routers[0].caller_api(),
        deployment.routers[0].admin_api(),
    ) else {
        return;
    };
    let caller = format!("-H 'Authorization: Bearer {}'", sample.caller_token);
    let root = format!(
        "-H 'Authorization: Bearer {}'",
        deployment.config.root_token
    );
    let (short, long) = (sample.short_completion.1, sample.long_completion.1);
    println!(
        "curl {caller} -d '{{\"model\":\"{short}\",\"prompt\":\"is lot 12 dry enough\",\"max_tokens\":5}}' http://{callers}/v1/completions"
    );
    println!(
        "curl -N {caller} -d '{{\"model\":\"{long}\",\"prompt\":\"lot 12\",\"max_tokens\":50,\"stream\":true}}' http://{callers}/v1/completions"
    );
    let service = format!("http://{callers}/v1/services/{}", sample.service_group);
    println!("curl {caller} {service}{}", sample.idempotent_call.1);
    println!(
        "curl {caller} -H 'Idempotency-Key: key-1' -d '{{\"amount\":40}}' {service}{}",
        sample.keyed_call.1
    );
    if let Ok(settings) = deployment.tool_settings() {
        let program = deployment.config.program.display();
        println!("{program} tool --config {} status", settings.display());
    }
    println!("curl {root} http://{admin}/admin/v1/status");
}
