import { CaseRecord } from "./caseRecord.mjs";
import { Deployment } from "./deployment.mjs";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param folder the folder of the case
 * @param run receives the deployment, the record and whether the disruption takes place. Resolves to a text that says how
 * the rule was broken, or to undefined if it held.
 */
export async function runCase(folder, run) {
    const record = new CaseRecord(folder);
    const deployment = new Deployment(record);
    const hasTrouble = process.env.TROUBLE !== "0";
    record.add(hasTrouble ? "with the disruption" : "without the disruption");
    let exitCode = EXIT_NOT_RUN;
    let verdict;
    try {
        const broken = await run({ deployment, record, hasTrouble });
        exitCode = broken === undefined ? EXIT_HELD : EXIT_BROKEN;
        verdict = broken === undefined ? "HELD" : `BROKEN: ${broken}`;
    }
    catch (error) {
        verdict = `NOT RUN: ${error.message}`;
    }
    await deployment.close();
    record.write(verdict);
    process.exit(exitCode);
}
