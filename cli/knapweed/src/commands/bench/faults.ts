import { runFaults } from "@knapweedwood/bench.faults/runFaults";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

/** Runs jobs and keyed calls under faults and audits what ran. */
export default class BenchFaults extends BenchCommand {
    static override description = "exactly once on real processes under faults, audited by what ran";
    static override flags = {
        items: Flags.integer({ description: "batch items of a repeatable service", default: 20_000 }),
        calls: Flags.integer({ description: "calls with an idempotency key", default: 2000 }),
        receipts: Flags.integer({ description: "batch items of a service that may not be repeated", default: 0 }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchFaults);
        const report = await runFaults({
            seed: Number(flags["seed"]),
            seconds: flags["seconds"] === undefined ? undefined : Number(flags["seconds"]),
            itemCount: flags.items,
            keyedCallCount: flags.calls,
            receiptCount: flags.receipts,
        });
        await this.outputReport(flags, report);
        this.exit(report.holds ? 0 : 1);
    }
}
