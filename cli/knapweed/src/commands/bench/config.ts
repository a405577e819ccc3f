import { runConfigChurn } from "@knapweedwood/bench.config-churn/runConfigChurn";
import { Flags } from "@oclif/core";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { BenchCommand } from "../../benchCommand.js";

/** Measures the rollout of frequent revisions while processes are killed or paused. */
export default class BenchConfig extends BenchCommand {
    static override description = "measure the rollout of configurations under churn";
    static override flags = {
        processes: Flags.integer({ description: "number of daemons; one fifth of them are entries", default: 60 }),
        publishes: Flags.integer({ description: "number of publishes", default: 200 }),
        "publish-interval": Flags.integer({ description: "mean milliseconds between two publishes", default: 500 }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchConfig);
        const folder = await mkdtemp(path.join(tmpdir(), "knapweed-config-"));
        const report = await runConfigChurn({
            folder,
            seed: Number(flags["seed"]),
            processes: flags.processes,
            publishes: flags.publishes,
            publishIntervalMs: flags["publish-interval"],
            onProgress: message => this.logToStderr(message),
        });
        await this.outputReport(flags, report);
        await rm(folder, { recursive: true, force: true });
    }
}
