import type { QuickstartOutcome } from "./quickstartOutcome.js";

const LABEL_WIDTH = 28;

/** Prints the outcome as a table on standard output. */
export function printOutcome(outcome: QuickstartOutcome): void {
    const sorted = [...outcome.latenciesMs].sort((left, right) => left - right);
    const rows: [string, string | number][] = [
        ["online calls answered", `${outcome.callsAnswered} of ${outcome.callsSent}`],
        ["  with a wrong text", outcome.callsWrong],
        ["  latency p50 / p99", `${quantile(sorted, 0.5)} ms / ${quantile(sorted, 0.99)} ms`],
        ["batch items accepted", outcome.itemsAccepted],
        ["  completed", outcome.itemsCompleted],
        ["  failed", outcome.failures.length],
        ...outcome.failures.map((failure): [string, string] => [`    ${failure.customId}`, failure.code]),
        ["  lost", outcome.itemsLost],
        ["  doubled", outcome.itemsDuplicated],
    ];
    rows.forEach(([label, value]) => process.stdout.write(`${label.padEnd(LABEL_WIDTH)}${value}\n`));
}

function quantile(sorted: number[], fraction: number): number {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0);
}
