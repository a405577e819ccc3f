import { runAffinity } from "@knapweedwood/bench.affinity/runAffinity";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

const DEFAULT_SECONDS = 120;

/** Simulates prefix cache hits, compared with random choice and with full knowledge of the caches. */
export default class BenchAffinity extends BenchCommand {
    static override description = "compare prefix cache hits with random choice and full knowledge";
    static override flags = {
        rate: Flags.integer({ description: "conversations per second", default: 9 }),
        upstreams: Flags.integer({ description: "number of upstreams", default: 12 }),
        entries: Flags.integer({ description: "number of entries", default: 3 }),
        factor: Flags.string({
            description: "maximum load of an upstream that holds the prefix, as a multiple of the mean",
            default: "1.6",
        }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchAffinity);
        const report = runAffinity({
            seconds: Number(flags["seconds"] ?? DEFAULT_SECONDS),
            seed: Number(flags["seed"]),
            conversationsPerSecond: flags.rate,
            upstreamCount: flags.upstreams,
            entryCount: flags.entries,
            affinityLoadFactor: Number(flags.factor),
        });
        await this.outputReport(flags, report);
    }
}
