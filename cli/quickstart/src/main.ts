import { isGoodOutcome } from "./isGoodOutcome.js";
import { MainJob } from "./mainJob.js";
import { printOutcome } from "./printOutcome.js";

const ITEM_COUNT = 500;
const POISONED_ITEMS = new Set([7, 250, 499]);
const SEED = 1;

const job = new MainJob({
    itemCount: ITEM_COUNT,
    poisoned: POISONED_ITEMS,
    seed: SEED,
    report: line => process.stdout.write(`${line}\n`),
});
const outcome = await job.run();
printOutcome(outcome);
// The crashed side of the run may hold timers of its own, which a process that lives on would have to wait for.
process.exit(isGoodOutcome(outcome, { poisoned: POISONED_ITEMS.size }) ? 0 : 1);
