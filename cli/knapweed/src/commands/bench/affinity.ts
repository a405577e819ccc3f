import { runAffinity } from "@knapweedwood/bench.affinity/runAffinity";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

const DEFAULT_SECONDS = 120;

/** Measures: prefix hits against random choice and full knowledge. */
export default class BenchAffinity extends BenchCommand {
    static override description = "prefix hits against random choice and full knowledge";
    static override flags = {
        rate: Flags.integer({ description: "conversations a second", default: 9 }),
        upstreams: Flags.integer({ description: "upstreams", default: 12 }),
        entries: Flags.integer({ description: "entries", default: 3 }),
        factor: Flags.string({ description: "largest load for the prefix's sake, times the mean", default: "1.6" }),
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
