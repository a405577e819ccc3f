import path from "node:path";
import { setTimeout } from "node:timers";
import { CaseRecord } from "./caseRecord.mjs";
import { Deployment } from "./deployment.mjs";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** Time after which a case is given up, in milliseconds. It may run for 120 s. */
const MAX_RUN_MS = 112_000;

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Ends all processes that it
 * has started, also when it is ended by a signal or an error. Without the disruption if the variable `TROUBLE` is 0.
 *
 * @param folder the folder of the case, where `record.txt` is written
 * @param run receives the deployment, the record and whether the disruption takes place. Resolves to a text that says how
 * the rule was broken, or to undefined if it held.
 */
export async function runCase(folder, run) {
    const record = new CaseRecord(path.join(folder, "record.txt"));
    const deployment = new Deployment(record);
    const hasTrouble = process.env.TROUBLE !== "0";
    let isEnding = false;
    const end = async (exitCode, verdict) => {
        if (!isEnding) {
            isEnding = true;
            await deployment.close();
            record.finish(verdict);
            process.exit(exitCode);
        }
    };
    ["SIGINT", "SIGTERM", "SIGHUP"].forEach(signal =>
        process.on(signal, () => void end(EXIT_NOT_RUN, `NOT RUN: ended by ${signal}`))
    );
    ["uncaughtException", "unhandledRejection"].forEach(event =>
        process.on(event, error => void end(EXIT_NOT_RUN, `NOT RUN: ${error}`))
    );
    setTimeout(() => void end(EXIT_NOT_RUN, "NOT RUN: it took too long"), MAX_RUN_MS);
    record.add(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    try {
        const broken = await run({ deployment, record, hasTrouble });
        await end(...broken === undefined ? [EXIT_HELD, "HELD"] : [EXIT_BROKEN, `BROKEN: ${broken}`]);
    }
    catch (error) {
        await end(EXIT_NOT_RUN, `NOT RUN: ${error.message}`);
    }
}
