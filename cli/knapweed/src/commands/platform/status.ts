import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { Args } from "@oclif/core";
import { request } from "undici";
import { formatTable } from "../../formatTable.js";
import { KnapweedCommand } from "../../knapweedCommand.js";
import { summarizeMetrics } from "../../summarizeMetrics.js";

const METRICS_PORT = 9464;
const TIMEOUT_MS = 2000;
const BYTES_PER_MB = 1e6;

/** Shows a summary of the metrics of gateways and runners, read from their metrics endpoints. */
export default class PlatformStatus extends KnapweedCommand {
    static override description =
        "show call outcomes, lost key-value calls, memory and event loop delay of gateways and runners";
    static override strict = false;
    static override args = {
        hosts: Args.string({ required: true, description: "addresses of the instances, as HOST or HOST:PORT" }),
    };

    async run(): Promise<unknown> {
        const { argv } = await this.parse(PlatformStatus);
        const rows = await Promise.all((argv as string[]).map(async host => ({ host, ...await fetchSummary(host) })));
        const header = [
            "instance",
            "answered",
            "refused",
            "failed",
            "store calls lost",
            "memory MB",
            "loop delay ms",
            "error",
        ];
        this.log(formatTable(
            header,
            rows.map(row => [
                row.host,
                row.answered,
                row.refused,
                row.failed,
                row.storeCallsLost,
                row.memoryBytes === undefined ? undefined : Math.round(row.memoryBytes / BYTES_PER_MB),
                row.loopDelayMs === undefined ? undefined : Math.round(row.loopDelayMs),
                row.error,
            ]),
        ));
        return rows;
    }
}

async function fetchSummary(host: string): Promise<Partial<ReturnType<typeof summarizeMetrics>> & { error?: string; }> {
    const address = host.includes(":") ? host : `${host}:${METRICS_PORT}`;
    try {
        const timeouts = { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS };
        const response = await request(`http://${address}/metrics`, timeouts);
        return summarizeMetrics(await response.body.text());
    }
    catch (thrown) {
        return { error: toKnapweedError(thrown).message };
    }
}
