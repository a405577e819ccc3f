import { runConfigChurn } from "@knapweedwood/bench.config-churn/runConfigChurn";
import { Flags } from "@oclif/core";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { BenchCommand } from "../../benchCommand.js";

const DEFAULT_PROCESSES = 60;
const DEFAULT_PUBLISHES = 200;
const DEFAULT_PUBLISH_INTERVAL_MS = 500;

/** Publishes under churn on real processes. */
export default class BenchConfig extends BenchCommand {
    static override description = "measure how soon configurations are in force everywhere under churn";
    static override flags = {
        processes: Flags.integer({ description: "daemons, a fifth of them entries", default: DEFAULT_PROCESSES }),
        publishes: Flags.integer({ description: "number of publishes", default: DEFAULT_PUBLISHES }),
        interval: Flags.integer({
            description: "milliseconds between two publishes, on average",
            default: DEFAULT_PUBLISH_INTERVAL_MS,
        }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchConfig);
        const folder = await mkdtemp(path.join(tmpdir(), "knapweed-bench-config-"));
        const report = await runConfigChurn({
            folder,
            seed: Number(flags["seed"]),
            processes: flags.processes,
            publishes: flags.publishes,
            publishIntervalMs: flags.interval,
            onProgress: message => this.logToStderr(message),
        });
        await this.finish(flags, report);
        await rm(folder, { recursive: true, force: true });
    }
}
