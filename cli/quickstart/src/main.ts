import { isExpectedOutcome } from "./isExpectedOutcome.js";
import { printOutcome } from "./printOutcome.js";
import { QuickstartScenario } from "./quickstartScenario.js";

const ITEM_COUNT = 500;
const FAILING_ITEMS = new Set([7, 250, 499]);
const SEED = 1;

const scenario = new QuickstartScenario({
    itemCount: ITEM_COUNT,
    failingItems: FAILING_ITEMS,
    seed: SEED,
    onProgress: line => process.stdout.write(`${line}\n`),
});
const outcome = await scenario.run();
printOutcome(outcome);
// Timers of the crashed side may still be active and would keep the process running.
process.exit(isExpectedOutcome(outcome, { failedItemCount: FAILING_ITEMS.size }) ? 0 : 1);
