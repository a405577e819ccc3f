import { compareDecisions } from "@knapweedwood/bench.decisions/compareDecisions";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";
import { formatTable } from "../../formatTable.js";

const PERCENT = 100;

/**
 * Simulates the decisions of the gateways under several loads, and compares them with a plain forwarder and with
 * first come, first served.
 */
export default class BenchDecisions extends BenchCommand {
    static override description =
        "compare decisions under load with a plain forwarder and with first come, first served";
    static override flags = {
        seeds: Flags.integer({ description: "number of seeds to average over", default: 5 }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchDecisions);
        const figures = compareDecisions({ seed: Number(flags["seed"]), seeds: flags.seeds });
        const share = (value: number) => (value * PERCENT).toFixed(1);
        const header = [
            "load",
            "policy",
            "value %",
            "on time %",
            "late %",
            "unserved %",
            "refused %",
            "worst 2 s %",
            "on time/s",
            "recovery ms",
            "items on time %",
            "worst usual team %",
        ];
        this.log(formatTable(
            header,
            figures.map(one => [
                one.load,
                one.policy,
                share(one.meanValue),
                share(one.onTimeShare),
                share(one.lateShare),
                share(one.unservedShare),
                share(one.refusedShare),
                share(one.worstWindowShare),
                one.goodputPerSecond.toFixed(1),
                Math.round(one.recoveryMs),
                share(one.itemsOnTimeShare),
                share(one.worstUsualTeamShare),
            ]),
        ));
    }
}
