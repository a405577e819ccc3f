import { writeReport } from "@knapweedwood/bench.load/writeReport";
import { mixedSections } from "@knapweedwood/bench.mixed/mixedSections";
import { runMixed } from "@knapweedwood/bench.mixed/runMixed";
import { Flags } from "@oclif/core";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { BenchCommand } from "../../benchCommand.js";

const MS_PER_SECOND = 1000;
const DEFAULT_SECONDS = 220;

/** Measures batch throughput and how much batch work increases the tail latency of online calls. */
export default class BenchMixed extends BenchCommand {
    static override description = "measure online and batch work on one fleet, compared with baselines";
    static override flags = {
        html: Flags.string({ description: "file for an HTML report with plots" }),
        balance: Flags.string({ description: "batch balance of the services, from 0 to 1", default: "1" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchMixed);
        const folder = await mkdtemp(path.join(tmpdir(), "knapweed-mixed-"));
        const { report, slices } = await runMixed({
            folder,
            seed: Number(flags["seed"]),
            durationMs: Number(flags["seconds"] ?? DEFAULT_SECONDS) * MS_PER_SECOND,
            batchBalance: Number(flags.balance),
        });
        await writeReport({
            title: "Online and batch work on one fleet",
            figures: report,
            sections: mixedSections(report, slices),
            htmlFile: flags.html,
        });
        await this.outputReport(flags, report);
        await rm(folder, { recursive: true, force: true });
    }
}
