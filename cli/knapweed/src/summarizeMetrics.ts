interface Sample {
    name: string;
    labels: { [label: string]: string; };
    value: number;
}

const SAMPLE = /^(\w+)(?:\{(.*)\})? (\S+)$/u;
const LABEL = /(\w+)="([^"]*)"/gu;

/**
 * Summarizes metrics in the Prometheus text format: calls by outcome, lost key-value calls, memory and event loop
 * delay. Values are summed over all labels; a metric that is absent counts as 0.
 */
export function summarizeMetrics(metricsText: string) {
    const samples = metricsText.split("\n").flatMap(parseSample);
    const sum = (name: string, labels: Sample["labels"] = {}) =>
        samples
            .filter(sample => sample.name === name)
            .filter(sample => Object.entries(labels).every(([label, value]) => sample.labels[label] === value))
            .reduce((total, sample) => total + sample.value, 0);
    return {
        answered: sum("knapweed_calls_total", { outcome: "call-answered" }),
        refused: sum("knapweed_calls_total", { outcome: "call-refused" }),
        failed: sum("knapweed_calls_total", { outcome: "call-failed" }),
        storeCallsLost: sum("knapweed_key_value_calls_total", { outcome: "lost" }),
        memoryBytes: sum("knapweed_memory_bytes"),
        loopDelayMs: sum("knapweed_event_loop_delay_max_ms"),
    };
}

function parseSample(line: string): Sample[] {
    const match = SAMPLE.exec(line);
    if (match === null) {
        return [];
    }
    const [, name = "", labelText = "", value] = match;
    const labels = Object.fromEntries([...labelText.matchAll(LABEL)].map(label => [label[1], label[2]]));
    return [{ name, labels, value: Number(value) }];
}
