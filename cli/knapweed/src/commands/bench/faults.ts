import { runFaults } from "@knapweedwood/bench.faults/runFaults";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

/** Runs batch jobs and calls with idempotency keys under faults, and audits the recorded executions. */
export default class BenchFaults extends BenchCommand {
    static override description = "check exactly-once execution on real processes under faults";
    static override flags = {
        items: Flags.integer({ description: "number of batch items of a repeatable service", default: 20_000 }),
        calls: Flags.integer({ description: "number of calls with an idempotency key", default: 2000 }),
        receipts: Flags.integer({
            description: "number of batch items of a service whose calls may not be repeated",
            default: 0,
        }),
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
